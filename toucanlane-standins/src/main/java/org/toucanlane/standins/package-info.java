/** Development tools that are not shipped: small stand-ins of the outside world, the demonstration, measurements. */
package org.toucanlane.standins;
