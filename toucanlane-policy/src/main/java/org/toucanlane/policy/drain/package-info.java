/** Decides which requests a host takes while it is stopping. */
package org.toucanlane.policy.drain;
