/** A host's view of the fleet: the active configuration, the endpoints and the other hosts. */
package org.toucanlane.edge.fleet;
