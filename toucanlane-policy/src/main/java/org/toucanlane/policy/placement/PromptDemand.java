package org.toucanlane.policy.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.toucanlane.policy.capacity.EngineProfile;

/**
 * Measures the work that long prompts and other requests cause at the engines of a service, over the last seconds, and
 * derives which part of the engines of each region long prompts should use.
 *
 * <p>Load pattern: a mix of long and short prompts that shifts within seconds, where residency rules bind the short ones
 * to some of the regions. Long prompts first get the engines of regions that the others may not use, and a part of the
 * other engines only for the rest of their work. Not thread-safe: confined to one thread.
 */
public final class PromptDemand {

    /** Half-life of the measured work; short relative to a shift of the load, long relative to a request. */
    private static final Duration HALF_LIFE = Duration.ofSeconds(4);

    /** Milliseconds of work from which the measured mix is meaningful. */
    private static final double MIN_WORK_MILLIS = 500;

    /** Milliseconds of a decoding step, which all requests of a batch share. */
    private static final double DECODING_STEP_MILLIS = 7;

    private final Map<Set<String>, Double> otherMillisByRegions = new HashMap<>();
    private double longMillis;
    private long measuredAt;

    /**
     * Records a request at an engine of a service that has not been measured.
     *
     * @see #record(PromptSize, long, EngineProfile, int, Set, long)
     */
    public void record(PromptSize size, long newTokens, int slots, Set<String> regions, long now) {
        record(size, newTokens, EngineProfile.START, slots, regions, now);
    }

    /**
     * Records a request.
     *
     * @param newTokens prompt tokens that its engine has to prefill
     * @param profile speed of the service's engines
     * @param slots requests that the engine runs concurrently
     * @param regions regions in which the request may run; empty for any region
     * @param now monotonic time in nanoseconds
     */
    public void record(
            PromptSize size, long newTokens, EngineProfile profile, int slots, Set<String> regions, long now) {
        decay(now);
        double work = profile.prefillMillis(newTokens) + size.maxOutputTokens() * DECODING_STEP_MILLIS / slots;
        if (LongPromptPool.isLong(size)) {
            longMillis += work;
        } else {
            otherMillisByRegions.merge(regions, work, Double::sum);
        }
    }

    /**
     * Returns the division of a region's engines that fits the measured work.
     *
     * @param enginesByRegion number of engines of the service in each region
     */
    public LongPromptPool pool(String region, Map<String, Integer> enginesByRegion, long now) {
        decay(now);
        double otherMillis = otherMillisByRegions.values().stream()
                .mapToDouble(Double::doubleValue)
                .sum();
        if (longMillis + otherMillis < MIN_WORK_MILLIS) {
            return LongPromptPool.NONE;
        }
        if (!isUsedByOthers(region)) {
            return LongPromptPool.ALL;
        }
        int all = 0;
        int exclusive = 0;
        for (Map.Entry<String, Integer> entry : enginesByRegion.entrySet()) {
            all += entry.getValue();
            exclusive += isUsedByOthers(entry.getKey()) ? 0 : entry.getValue();
        }
        double needed = all * longMillis / (longMillis + otherMillis) - exclusive;
        return new LongPromptPool(Math.max(0, Math.min(1, needed / Math.max(1, all - exclusive))));
    }

    private boolean isUsedByOthers(String region) {
        return otherMillisByRegions.keySet().stream()
                .anyMatch(regions -> regions.isEmpty() || regions.contains(region));
    }

    private void decay(long now) {
        double factor = Math.pow(0.5, (double) (now - measuredAt) / HALF_LIFE.toNanos());
        longMillis *= factor;
        otherMillisByRegions.replaceAll((regions, millis) -> millis * factor);
        otherMillisByRegions.values().removeIf(millis -> millis < 1);
        measuredAt = now;
    }
}
