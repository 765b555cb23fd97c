/** What a host believes of the fleet: the configuration in force, endpoints, other hosts. */
package org.toucanlane.edge.fleet;
