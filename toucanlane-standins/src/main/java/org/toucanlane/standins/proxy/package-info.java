/** A TCP proxy that adds delay, limits bandwidth, simulates partitions and closes connections. */
package org.toucanlane.standins.proxy;
