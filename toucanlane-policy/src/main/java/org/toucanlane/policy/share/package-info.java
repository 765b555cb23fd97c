/** Divides the rate limit of an account between hosts. */
package org.toucanlane.policy.share;
