package org.toucanlane.policy.overload;

import com.google.common.base.Preconditions;
import java.time.Duration;
import java.util.Optional;

/**
 * How long callers wait for a host to read their requests.
 *
 * <p>Load pattern: a host that reads what has waited for seconds. Its callers have sent these requests to other hosts, and
 * whatever the host spends on them is lost to requests that are still wanted. Stateless and thread-safe.
 */
public enum CallerPatience {
    /** The request may be repeated: callers give it up early and send it elsewhere. */
    REPEATABLE {
        @Override
        Duration unread(Duration timeLeft, Duration objective, Optional<Duration> maxEventGap) {
            return min(MAX_UNREAD, timeLeft.dividedBy(UNREAD_PARTS));
        }
    },
    /** The request may run only once: callers wait until its deadline. */
    ONCE {
        @Override
        Duration unread(Duration timeLeft, Duration objective, Optional<Duration> maxEventGap) {
            return timeLeft;
        }
    },
    /** The response is an event stream: callers wait as long as for any of its events. */
    STREAM {
        @Override
        Duration unread(Duration timeLeft, Duration objective, Optional<Duration> maxEventGap) {
            Duration byObjective = max(MIN_STREAM_GAP, objective.multipliedBy(GAP_OBJECTIVES));
            return maxEventGap
                    .map(gap -> max(byObjective, gap.multipliedBy(GAP_PAUSES)))
                    .orElse(byObjective);
        }
    };

    /** Longest time that callers wait for a request that may be repeated to be read. */
    private static final Duration MAX_UNREAD = Duration.ofSeconds(1);

    /** Parts of the time left, of which callers wait for one. */
    private static final int UNREAD_PARTS = 3;

    /** Shortest gap in a stream at which callers leave. */
    private static final Duration MIN_STREAM_GAP = Duration.ofSeconds(2);

    /** The same as a multiple of the latency objective. */
    private static final int GAP_OBJECTIVES = 4;

    /** The same as a multiple of the longest pause that the stream is to have. */
    private static final int GAP_PAUSES = 8;

    /** Age below which a request counts as just read, whatever its deadline. */
    private static final Duration MIN_AGE = Duration.ofMillis(20);

    /**
     * Returns the age at which a request that hasn't been read has been given up.
     *
     * @param timeLeft time until the deadline, when the request was sent; not negative
     * @param objective latency objective
     * @param maxEventGap target for the longest pause of a stream
     */
    public Duration givesUpAfter(Duration timeLeft, Duration objective, Optional<Duration> maxEventGap) {
        Preconditions.checkArgument(!timeLeft.isNegative(), "timeLeft must not be negative: %s", timeLeft);
        return max(MIN_AGE, min(timeLeft, unread(timeLeft, objective, maxEventGap)));
    }

    abstract Duration unread(Duration timeLeft, Duration objective, Optional<Duration> maxEventGap);

    private static Duration min(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    private static Duration max(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }
}
