package org.toucanlane.policy.overload;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Measures since when the input that an event loop reads may have been waiting.
 *
 * <p>Load pattern: a host that is kept from reading for seconds, by work or by a suspension of its process, and then reads
 * requests whose callers have left and reports that say nothing about silence. Input that a pass of the loop finds wasn't
 * there when the pass before looked, so it has waited since then at most. If the loop waited for the input without work,
 * the input is new, unless that wait ended later than the next timer was due: then the loop was suspended in it.
 *
 * <p>Invariant: {@link #readableSince} never decreases, and no input of the present pass was readable before it, except
 * for input that was left over by an earlier pass, or that came in a suspension that ended before the next timer. All
 * times are monotonic nanoseconds. Not thread-safe: confined to the event loop that it measures.
 */
public final class LoopClock {

    /** Shortest wait for input that shows that there was none when the wait began. */
    private static final long IDLE_WAIT_NANOS = Duration.ofMillis(1).toNanos();

    /** Time since the previous look beyond which a look without blocking has to precede a wait for input. */
    private static final long PROBE_NANOS = Duration.ofMillis(5).toNanos();

    /** Lateness of a timer that is not taken for a suspension. */
    private static final long TIMER_TOLERANCE_NANOS = Duration.ofMillis(20).toNanos();

    /** Shortest delay that is a stall: two rounds of reports between hosts are missed in it. */
    private static final long STALL_NANOS = Duration.ofMillis(200).toNanos();

    /** Time for which stalls are kept: longer than any silence that they could explain. */
    private static final long KEPT_NANOS = Duration.ofSeconds(8).toNanos();

    private final Deque<Stall> stalls = new ArrayDeque<>();
    private long lookedAt;
    private long passBegan;
    private long timerDue;
    private boolean mayBlock;
    private boolean knownEmpty;
    private boolean inputSeen;
    private long readableSince;
    private long pass;
    private boolean idle;
    private long delay;
    private long delayBefore;
    private long longestDelay;
    private long stallCount;

    /** Creates a clock for a loop that looks for input for the first time at {@code now} or later. */
    public LoopClock(long now) {
        lookedAt = now;
        readableSince = now;
    }

    /**
     * Records that the loop is about to look for input.
     *
     * @param blocks whether it waits if there is none
     * @param nextTimer time at which that wait ends at the latest
     * @return whether it should look once without blocking before it waits, and report what it found to {@link #probed}
     */
    public boolean beginPass(long now, boolean blocks, long nextTimer) {
        pass++;
        passBegan = now;
        timerDue = nextTimer;
        mayBlock = blocks;
        knownEmpty = false;
        inputSeen = false;
        return blocks && now - lookedAt > PROBE_NANOS;
    }

    /**
     * Records that the loop has looked for input without blocking.
     *
     * @param found whether there was input, so that the loop doesn't wait
     */
    public void probed(long now, boolean found) {
        mayBlock = !found;
        if (!found) {
            recordDelay(now - lookedAt, now);
            lookedAt = now;
            passBegan = now;
            knownEmpty = true;
        }
    }

    /** Records that the loop has found input at {@code now}. Only the first call of each pass has an effect. */
    public void foundInput(long now) {
        if (!inputSeen) {
            inputSeen = true;
            endLook(now);
        }
    }

    /** Returns whether the present pass has found input. */
    public boolean hasFoundInput() {
        return inputSeen;
    }

    /** Records that the loop has read all input that it had found. */
    public void endPass(long now) {
        if (!inputSeen) {
            // What a look without blocking had to find was there when it began.
            endLook(mayBlock ? now : passBegan);
        }
    }

    private void endLook(long now) {
        boolean waited = mayBlock && (knownEmpty || now - passBegan >= IDLE_WAIT_NANOS);
        boolean suspended = waited && now - Math.max(passBegan, timerDue) > TIMER_TOLERANCE_NANOS;
        if (waited) {
            readableSince = suspended ? passBegan : now;
        } else {
            readableSince = lookedAt;
        }
        idle = waited && !suspended;
        lookedAt = now;
        if (!knownEmpty || suspended) {
            recordDelay(now - readableSince, now);
        }
    }

    private void recordDelay(long nanos, long now) {
        delayBefore = delay;
        delay = nanos;
        longestDelay = Math.max(longestDelay, nanos);
        if (nanos >= STALL_NANOS) {
            stallCount++;
            stalls.addLast(new Stall(now - nanos, now));
            while (now - stalls.peekFirst().end() > KEPT_NANOS) {
                stalls.removeFirst();
            }
        }
    }

    /** Returns the time before which none of the input of the present pass could have been read. */
    public long readableSince() {
        return readableSince;
    }

    /** Returns the number of the present pass. */
    public long pass() {
        return pass;
    }

    /** Returns whether there was no input at the beginning of the present pass. */
    public boolean wasIdle() {
        return idle;
    }

    /** Returns for how long input may have waited for the latest pass, in nanoseconds. */
    public long delayNanos() {
        return delay;
    }

    /**
     * Returns how long input is expected to wait for the next pass, in nanoseconds: the smaller of the last two delays, since a
     * single stall says nothing about the time after it.
     */
    public long expectedDelayNanos() {
        return Math.min(delay, delayBefore);
    }

    /** Returns the longest delay since the previous call of this method, in nanoseconds. */
    public long takeLongestDelayNanos() {
        long longest = longestDelay;
        longestDelay = 0;
        return longest;
    }

    /** Returns the number of stalls so far. */
    public long stallCount() {
        return stallCount;
    }

    /** Returns the length of the latest stall, or zero if there was none in the last seconds. */
    public long latestStallNanos() {
        return latestStall().nanos();
    }

    /** Returns the stalls of the last seconds, the latest last. */
    Iterable<Stall> stalls() {
        return stalls;
    }

    /** Returns the latest stall, of length zero if there was none in the last seconds. */
    Stall latestStall() {
        return stalls.isEmpty() ? Stall.NONE : stalls.peekLast();
    }

    /**
     * A time in which the loop didn't read.
     *
     * @param begin time before which everything had been read
     * @param end time of the next read
     */
    record Stall(long begin, long end) {

        private static final Stall NONE = new Stall(0, 0);

        long nanos() {
            return end - begin;
        }

        /** Returns the part of this stall that is after {@code time}, in nanoseconds. */
        long nanosAfter(long time) {
            return Math.max(0, Math.min(end - begin, end - time));
        }
    }
}
