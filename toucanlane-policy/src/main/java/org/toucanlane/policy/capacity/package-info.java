/** How fast each endpoint of a service is, learned from the responses that it gave. */
package org.toucanlane.policy.capacity;
