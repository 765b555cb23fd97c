/** This host among its peers: links, heartbeats, loans and calls from other hosts. */
package org.toucanlane.gateway.peer;
