/** Queues requests for endpoints fairly between client accounts. */
package org.toucanlane.policy.queue;
