/** Development tools that are not shipped: small stand-ins of external systems, the demonstration, measurements. */
package org.toucanlane.standins;
