/** Tracks the hosts of the fleet by their heartbeats. */
package org.toucanlane.coordination.membership;
