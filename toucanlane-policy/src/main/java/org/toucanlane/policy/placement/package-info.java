/** Where a request should run: one estimate of an endpoint's next answer, and the choice that follows from it. */
package org.toucanlane.policy.placement;
