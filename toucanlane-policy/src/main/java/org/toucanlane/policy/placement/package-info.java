/** Places requests at endpoints by an estimate of the time to the first response. */
package org.toucanlane.policy.placement;
