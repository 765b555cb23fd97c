package org.toucanlane.policy.drain;

import com.google.common.base.Preconditions;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Estimates the time to the end of a response by the last complete responses of the same kind of request.
 *
 * <p>Load pattern: streams whose duration depends on the number of their output tokens, beside requests whose duration
 * doesn't, and routes on which a few requests take many times as long as the others. The estimate is the longest of the
 * responses that are nearest in size, with a margin, since underestimates cost more than overestimates; a response to a
 * smaller request counts in proportion to the sizes. Invariant: holds at most {@value #MAX_KINDS} kinds with {@value
 * #MAX_RESPONSES} responses each. Not thread-safe: confined to one thread.
 */
public final class ResponseTimes {

    static final int MAX_KINDS = 128;
    static final int MAX_RESPONSES = 128;

    /** Minimum number of responses, those nearest in size, that an estimate is based on. */
    static final int MIN_RESPONSES = 8;

    /** Logarithm of the ratio of two sizes up to which they count as equal. */
    private static final double SAME_SIZE_DISTANCE = 0.1;

    private static final double MARGIN = 1.25;

    private final Map<String, Deque<Response>> byKind = new LinkedHashMap<>(16, 0.75f, true) {

        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Deque<Response>> eldest) {
            return size() > MAX_KINDS;
        }
    };

    /**
     * Records a complete response.
     *
     * @param kind kind of request, such as its route
     * @param size size of the request on which its duration depends; 1 if there is none
     * @param millis time from the request to the end of its response
     */
    public void record(String kind, long size, double millis) {
        Preconditions.checkArgument(size > 0, "size must be positive: %s", size);
        Deque<Response> responses = byKind.computeIfAbsent(kind, key -> new ArrayDeque<>());
        if (responses.size() == MAX_RESPONSES) {
            responses.removeLast();
        }
        responses.addFirst(new Response(size, millis));
    }

    /** Returns the time that a request is expected to take, or empty if too few of its kind have been recorded. */
    public Optional<Duration> expected(String kind, long size) {
        Preconditions.checkArgument(size > 0, "size must be positive: %s", size);
        Deque<Response> responses = byKind.getOrDefault(kind, new ArrayDeque<>());
        if (responses.size() < MIN_RESPONSES) {
            return Optional.empty();
        }
        double radius = responses.stream()
                .mapToDouble(response -> response.distanceTo(size))
                .sorted()
                .limit(MIN_RESPONSES)
                .max()
                .orElse(0);
        double longest = responses.stream()
                .filter(response -> response.distanceTo(size) <= Math.max(radius, SAME_SIZE_DISTANCE))
                .mapToDouble(response -> response.millisFor(size))
                .max()
                .orElse(0);
        return Optional.of(Duration.ofMillis((long) Math.ceil(longest * MARGIN)));
    }

    private record Response(long size, double millis) {

        double distanceTo(long other) {
            return Math.abs(Math.log((double) other / size));
        }

        double millisFor(long other) {
            return millis * Math.max(1, (double) other / size);
        }
    }
}
