/** Decides whether a request is admitted or rejected with a retry-after delay. */
package org.toucanlane.policy.admission;
