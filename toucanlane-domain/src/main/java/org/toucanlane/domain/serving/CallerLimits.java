package org.toucanlane.domain.serving;

import java.time.Duration;

/**
 * Bounds on what a caller may send and how long it may take.
 *
 * @param maxHeaderBytes longest request head
 * @param maxBodyBytes longest request body
 * @param headerTimeout longest time from the first byte of a request to the end of its head
 * @param idleTimeout how long a connection may be idle
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** In force until a configuration says otherwise; generous, since it only guards memory. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16 << 10, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
