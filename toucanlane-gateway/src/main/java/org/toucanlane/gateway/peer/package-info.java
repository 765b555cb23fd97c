/** Communication with other hosts: links, heartbeats, load reports, token loans and forwarded calls. */
package org.toucanlane.gateway.peer;
