package org.toucanlane.policy.capacity;

import java.time.Duration;
import java.util.Arrays;

/**
 * The median of recent samples, each interval of time counting once.
 *
 * <p>Load pattern: an endpoint that pauses for some 100 milliseconds answers many requests late at once, and one that has
 * become slow goes on to. Samples of one interval are averaged, and the median over the intervals changes only when more
 * than half of the window is different. If requests are rare, the newest samples count beyond the window, and their
 * weight in {@link #level} decreases with their age, so that an idle endpoint is eventually tried again.
 *
 * <p>Invariant: intervals are in the order of their times. Not thread-safe.
 */
final class SampleWindow {

    /** Time in which a lasting change becomes the majority, and a pause of half as long doesn't. */
    static final Duration WINDOW = Duration.ofMillis(1_500);

    private static final long INTERVAL_NANOS = Duration.ofMillis(100).toNanos();

    /** Intervals that are used although they are older than the window, if there are no newer ones. */
    private static final int MIN_INTERVALS = 3;

    /** Age from which a measurement fades; an endpoint that was slow for a moment gets few requests that would show it. */
    private static final Duration FRESH_TIME = Duration.ofMillis(500);

    /** Half-life of a measurement that is not fresh. */
    private static final Duration HALF_LIFE = Duration.ofSeconds(1);

    /** Age at which a sample is dropped. */
    private static final Duration MAX_AGE = Duration.ofSeconds(12);

    private static final int CAPACITY = (int) (WINDOW.toNanos() / INTERVAL_NANOS);

    private final double[] sums = new double[CAPACITY];
    private final int[] runningSums = new int[CAPACITY];
    private final int[] counts = new int[CAPACITY];
    private final long[] starts = new long[CAPACITY];
    private int newest = -1;
    private int size;

    /** Adds a sample, measured with {@code running} other requests, at monotonic time {@code now} in nanoseconds. */
    void add(double sample, int running, long now) {
        if (size == 0 || now - starts[newest] >= INTERVAL_NANOS) {
            newest = (newest + 1) % CAPACITY;
            size = Math.min(size + 1, CAPACITY);
            starts[newest] = now;
            sums[newest] = 0;
            runningSums[newest] = 0;
            counts[newest] = 0;
        }
        sums[newest] += sample;
        runningSums[newest] += running;
        counts[newest]++;
    }

    /** Returns the number of intervals that count at {@code now}. */
    int intervals(long now) {
        int count = 0;
        while (count < size && counts(count, now)) {
            count++;
        }
        return count;
    }

    private boolean counts(int index, long now) {
        long age = now - starts[at(index)];
        return age <= WINDOW.toNanos() || index < MIN_INTERVALS && age <= MAX_AGE.toNanos();
    }

    private int at(int index) {
        return Math.floorMod(newest - index, CAPACITY);
    }

    /**
     * Returns the median without the slowdown by running requests. It approaches {@code usual} while there are no new
     * samples, and is {@code usual} if there are none.
     *
     * @param perRequest part of a sample that each running request causes
     */
    double level(double perRequest, double usual, long now) {
        double[] sorted = sorted(perRequest, now);
        if (sorted.length == 0) {
            return usual;
        }
        double beyond = Math.max(0, now - starts[newest] - FRESH_TIME.toNanos());
        return usual + (median(sorted) - usual) * Math.pow(0.5, beyond / HALF_LIFE.toNanos());
    }

    /** Returns whether there is a new measurement. */
    boolean isFresh(long now) {
        return size > 0 && now - starts[newest] <= FRESH_TIME.toNanos();
    }

    /** Returns the median absolute deviation from the median, or NaN if there are too few intervals to tell. */
    double deviation(double perRequest, long now) {
        double[] values = sorted(perRequest, now);
        if (values.length < MIN_INTERVALS) {
            return Double.NaN;
        }
        double median = median(values);
        for (int i = 0; i < values.length; i++) {
            values[i] = Math.abs(values[i] - median);
        }
        Arrays.sort(values);
        return median(values);
    }

    private double[] sorted(double perRequest, long now) {
        double[] values = new double[intervals(now)];
        for (int i = 0; i < values.length; i++) {
            values[i] = (sums[at(i)] - perRequest * runningSums[at(i)]) / counts[at(i)];
        }
        Arrays.sort(values);
        return values;
    }

    static double median(double[] sorted) {
        int middle = sorted.length / 2;
        return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
    }
}
