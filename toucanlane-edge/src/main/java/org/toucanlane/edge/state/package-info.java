/** This host's copy of the store, the copy's freshness, and the lease on the host's own record. */
package org.toucanlane.edge.state;
