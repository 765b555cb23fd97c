/** Selects the hosts that a caller is told to connect to. */
package org.toucanlane.policy.directory;
