/** Enforcement of client account limits on this host. */
package org.toucanlane.edge.limit;
