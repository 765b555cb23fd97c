/** When a failed call may be sent again. */
package org.toucanlane.policy.retry;
