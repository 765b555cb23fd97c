/** Interfaces to a linearizable key-value service with compare-and-swap. */
package org.toucanlane.coordination.store;
