/** Client of the platform's lagging list of hosts; its protocol is in {@code docs/STORE-PROTOCOL.md}. */
package org.toucanlane.platform.hostlist;
