package org.toucanlane.coordination.store;

import java.time.Duration;

/**
 * A lease, counted from the arrival of the call that opened or renewed it.
 *
 * @param id number of the lease
 * @param timeToLive how long it holds unless it is renewed
 */
public record StoreLease(long id, Duration timeToLive) {}
