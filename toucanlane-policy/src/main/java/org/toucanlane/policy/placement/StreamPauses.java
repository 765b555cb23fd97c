package org.toucanlane.policy.placement;

/**
 * Tracks how close the pauses within the streams of a service come to their targets, to tell whether it pays to keep
 * long prompts apart.
 *
 * <p>Load pattern: engines that differ in how long a full prefill holds up their streams. Where even a full prefill stays
 * well within the target, keeping long prompts apart only costs capacity. The measure is the average of the longest pause
 * of each stream, as a ratio to its target; only streams of engines that serve long prompts count, so that it does not
 * fall when long prompts are kept apart. Not thread-safe: confined to one thread.
 */
public final class StreamPauses {

    /** Weight of a new stream in the moving average; a host that has just started learns from its first ten streams. */
    private static final double SMOOTHING_FACTOR = 0.1;

    /** Average ratio of the pause to its target up to which nothing needs to be kept apart. */
    private static final double MIN_RATIO = 0.45;

    /** Average ratio of the pause to its target from which long prompts are kept apart fully. */
    private static final double FULL_RATIO = 0.6;

    /** Upper clamp for the ratio of one stream, so that a stalled one does not dominate the average. */
    private static final double MAX_RATIO = 2;

    private double ratio = MIN_RATIO;

    /**
     * Records a stream that has ended.
     *
     * @param pauseToTarget its longest pause, divided by the longest pause at which it is on time
     */
    public void record(double pauseToTarget) {
        ratio += SMOOTHING_FACTOR * (Math.min(MAX_RATIO, pauseToTarget) - ratio);
    }

    /** Returns how much it pays to keep long prompts apart, from 0 to 1. */
    public double severity() {
        return Math.max(0, Math.min(1, (ratio - MIN_RATIO) / (FULL_RATIO - MIN_RATIO)));
    }
}
