/** Stand-in of a plain service that counts what it ran. */
package org.toucanlane.standins.plain;
