/** Queues requests for endpoints, by urgency or fairly between client accounts. */
package org.toucanlane.policy.queue;
