/** A TCP proxy that delays, freezes, breaks and narrows the links that it carries. */
package org.toucanlane.standins.proxy;
