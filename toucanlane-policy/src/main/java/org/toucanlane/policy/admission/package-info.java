/** Whether a request is taken now or turned away, and when it may come back. */
package org.toucanlane.policy.admission;
