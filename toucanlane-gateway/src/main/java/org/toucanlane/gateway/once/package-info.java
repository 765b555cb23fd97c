/** At-most-once execution of non-repeatable requests, by idempotency key. */
package org.toucanlane.gateway.once;
