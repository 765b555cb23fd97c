/** Waiting for an endpoint, fair between client accounts. */
package org.toucanlane.policy.queue;
