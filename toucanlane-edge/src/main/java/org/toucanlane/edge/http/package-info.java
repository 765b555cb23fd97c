/** HTTP/1.1 on Netty, for callers, endpoints, other hosts and the platform alike. */
package org.toucanlane.edge.http;
