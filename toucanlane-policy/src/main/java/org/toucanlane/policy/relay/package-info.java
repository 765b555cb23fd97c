/** Selects the hosts that aggregate and relay the load reports of a region. */
package org.toucanlane.policy.relay;
