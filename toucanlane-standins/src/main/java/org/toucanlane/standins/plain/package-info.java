/** Stand-in for a plain HTTP service that counts the actions it runs. */
package org.toucanlane.standins.plain;
