package org.toucanlane.policy.placement;

/**
 * Tracks how close the pauses within the streams of a service come to their targets, to tell whether it pays to keep
 * long prompts apart.
 *
 * <p>Load pattern: engines that differ in how long a full prefill holds up their streams. Where even a full prefill stays
 * within the target, keeping long prompts apart only costs capacity. The measure is a high quantile of the longest pause
 * of each stream, as a ratio to its target; only streams of engines that serve long prompts count, so that it does not
 * fall when long prompts are kept apart. Not thread-safe: confined to one thread.
 */
public final class StreamPauses {

    /** The tracked quantile of the longest pause of a stream. */
    private static final double QUANTILE = 0.95;

    /** Change of the tracked ratio by one stream, from which the quantile weights are taken. */
    private static final double STEP = 0.1;

    /** Ratio of the pause to its target up to which nothing needs to be kept apart. */
    private static final double MIN_RATIO = 0.8;

    /** Ratio of the pause to its target from which long prompts are kept apart fully. */
    private static final double FULL_RATIO = 0.9;

    private double ratio = 1;

    /**
     * Records a stream that has ended.
     *
     * @param pauseToTarget its longest pause, divided by the longest pause at which it is on time
     */
    public void record(double pauseToTarget) {
        ratio += pauseToTarget > ratio ? STEP * QUANTILE : -STEP * (1 - QUANTILE);
    }

    /** Returns how much it pays to keep long prompts apart, from 0 to 1. */
    public double severity() {
        return Math.max(0, Math.min(1, (ratio - MIN_RATIO) / (FULL_RATIO - MIN_RATIO)));
    }
}
