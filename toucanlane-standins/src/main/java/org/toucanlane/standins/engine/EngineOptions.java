package org.toucanlane.standins.engine;

/**
 * Capacity and timing of an engine.
 *
 * @param slots maximum number of requests that run concurrently; further requests wait
 * @param stepMicros base time between two tokens of a request, in microseconds
 * @param stepMicrosPerRunning time added to each step for each running request, in microseconds
 * @param prefillMicrosPerToken time to process one token of a prompt that is not cached, in microseconds
 * @param cachedPrefixes maximum number of prompt prefixes in the cache
 * @param loadLagMillis minimum time between two samples of the load, by which load reports lag, in milliseconds
 */
public record EngineOptions(
        int slots,
        long stepMicros,
        long stepMicrosPerRunning,
        long prefillMicrosPerToken,
        int cachedPrefixes,
        long loadLagMillis) {

    /** Returns the default options. */
    public static EngineOptions defaults() {
        return new EngineOptions(16, 5_000, 100, 100, 64, 300);
    }
}
