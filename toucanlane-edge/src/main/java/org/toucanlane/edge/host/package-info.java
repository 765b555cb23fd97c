/** Assembly, startup and graceful shutdown of a host, and its directory of hosts. */
package org.toucanlane.edge.host;
