/** Decides when a failed attempt is retried, and bounds the number of retries. */
package org.toucanlane.policy.retry;
