/** Keeps prompts on which endpoints crash from the endpoints. */
package org.toucanlane.policy.quarantine;
