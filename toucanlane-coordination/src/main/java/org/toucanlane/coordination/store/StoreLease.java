package org.toucanlane.coordination.store;

import java.time.Duration;

/**
 * A lease. Its time to live starts when the service receives the call that granted or renewed it.
 *
 * @param id identifier of the lease
 * @param timeToLive how long the lease is valid unless it is renewed
 */
public record StoreLease(long id, Duration timeToLive) {}
