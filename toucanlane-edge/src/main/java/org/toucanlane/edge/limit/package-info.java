/** Limits of client accounts on this host. */
package org.toucanlane.edge.limit;
