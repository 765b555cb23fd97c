package org.toucanlane.domain.serving;

import java.time.Duration;

/**
 * Size limits and timeouts for requests and connections of callers.
 *
 * @param maxHeaderBytes maximum size of the request head
 * @param maxBodyBytes maximum size of the request body
 * @param headerTimeout maximum time from the first byte of a request to the end of its head
 * @param idleTimeout time after which an idle connection is closed
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** Used until a configuration is loaded; generous, since these limits only protect memory. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16 << 10, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
