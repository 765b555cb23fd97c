/** HTTP/1.1 server and client on Netty, used for callers, endpoints, other hosts and the platform. */
package org.toucanlane.edge.http;
