package org.toucanlane.standins.engine;

/**
 * How an engine behaves.
 *
 * @param slots requests that it works on at the same time; more wait
 * @param stepMicros time between two tokens of a request while few run, in microseconds
 * @param stepMicrosPerRunning time added to each step for each running request, in microseconds
 * @param prefillMicrosPerToken time to read one token of a prompt that is not cached, in microseconds
 * @param cachedPrefixes starts of prompts that it remembers
 * @param loadLagMillis how old its load reports are, in milliseconds
 */
public record EngineOptions(
        int slots,
        long stepMicros,
        long stepMicrosPerRunning,
        long prefillMicrosPerToken,
        int cachedPrefixes,
        long loadLagMillis) {

    /** Returns the options used unless others are given. */
    public static EngineOptions defaults() {
        return new EngineOptions(16, 5_000, 100, 100, 64, 300);
    }
}
