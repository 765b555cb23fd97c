/** Tracks the health of endpoints by the outcomes of their calls. */
package org.toucanlane.policy.health;
