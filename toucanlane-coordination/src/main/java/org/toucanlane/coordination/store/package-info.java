/** What the library needs of a small key-value service with compare-and-swap. */
package org.toucanlane.coordination.store;
