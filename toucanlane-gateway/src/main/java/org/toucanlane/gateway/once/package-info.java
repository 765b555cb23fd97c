/** One-time actions: at most one run for each idempotency key. */
package org.toucanlane.gateway.once;
