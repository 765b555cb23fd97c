package org.toucanlane.policy.overload;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Replays passes of an event loop; all times in milliseconds. */
class LoopClockTest {

    private static final long NEVER = 1_000_000;

    private final LoopClock clock = new LoopClock(0);
    private final SilenceAllowance silence = new SilenceAllowance(clock);

    @Test
    void inputIsNewIfTheLoopWaitedForIt() {
        wait(0, 80, 100);
        assertThat(since()).isEqualTo(80);
        assertThat(clock.wasIdle()).isTrue();
        assertThat(clock.delayNanos()).isZero();
    }

    @Test
    void inputMayHaveComeWhenTheLoopLastLooked() {
        wait(0, 80, 100);
        poll(700);
        assertThat(since()).isEqualTo(80);
        assertThat(millis(clock.delayNanos())).isEqualTo(620);
        poll(720);
        assertThat(since()).isEqualTo(700);
        assertThat(millis(clock.expectedDelayNanos())).isEqualTo(20);
    }

    /** Work before a wait says nothing about what comes during the wait, but all about what was there before it. */
    @Test
    void looksBeforeItWaitsIfItWasBusy() {
        wait(0, 1, 100);
        assertThat(clock.beginPass(nanos(900), true, nanos(NEVER))).isTrue();
        clock.probed(nanos(901), true);
        clock.foundInput(nanos(950));
        assertThat(since()).isEqualTo(1);
        clock.endPass(nanos(960));
        assertThat(clock.beginPass(nanos(1_900), true, nanos(NEVER))).isTrue();
        clock.probed(nanos(1_901), false);
        clock.foundInput(nanos(1_930));
        assertThat(since()).isEqualTo(1_930);
        assertThat(millis(clock.takeLongestDelayNanos())).isEqualTo(951);
        assertThat(clock.takeLongestDelayNanos()).isZero();
    }

    @Test
    void calmLoopDoesNotLookTwice() {
        wait(0, 50, 100);
        assertThat(clock.beginPass(nanos(53), true, nanos(100))).isFalse();
    }

    @Test
    void inputOfAWaitThatOutlastsTheNextTimerIsAsOldAsTheWait() {
        wait(0, 10, 100);
        wait(10, 4_000, 100);
        assertThat(since()).isEqualTo(10);
        assertThat(clock.wasIdle()).isFalse();
        assertThat(clock.stallCount()).isEqualTo(1);
    }

    /** 5 ms of work for a request on a tenth of a core: each pass takes 50 ms for each request of the one before. */
    @Test
    void boundsTheAgeOfWhatABusyLoopReads() {
        wait(0, 10, 100);
        long look = 10;
        for (int requests = 1; requests < 12; requests++) {
            long next = look + 50L * requests;
            poll(next);
            assertThat(since()).isEqualTo(look);
            look = next;
        }
        assertThat(millis(clock.expectedDelayNanos())).isEqualTo(500);
    }

    @Test
    void ownStallsExplainSilenceUpToASecond() {
        wait(0, 100, 200);
        poll(700);
        poll(710);
        assertThat(millis(silence.nanosSince(nanos(400)))).isEqualTo(300);
        assertThat(millis(silence.nanosSince(nanos(50)))).isEqualTo(600);
        assertThat(silence.nanosSince(nanos(705))).isZero();
        poll(5_000);
        assertThat(millis(silence.nanosSince(nanos(50)))).isEqualTo(1_000);
        assertThat(millis(silence.nanosSinceWithUnread(nanos(50), nanos(5_200))))
                .isEqualTo(4_290);
        assertThat(millis(silence.nanosSinceWithUnread(nanos(50), nanos(5_301))))
                .isEqualTo(1_000);
    }

    /** A host that is dead is noticed by one that doesn't get out of its stalls. */
    @Test
    void stallsWithoutEndExplainNoMoreThanASecondAndTheLatest() {
        for (long now = 400; now <= 40_000; now += 400) {
            poll(now);
        }
        assertThat(millis(silence.nanosSinceWithUnread(nanos(20_000), nanos(40_000))))
                .isEqualTo(1_000);
    }

    private void wait(long begin, long found, long timer) {
        clock.beginPass(nanos(begin), true, nanos(timer));
        clock.foundInput(nanos(found));
        clock.endPass(nanos(found));
    }

    private void poll(long found) {
        clock.beginPass(nanos(found), false, 0);
        clock.foundInput(nanos(found));
        clock.endPass(nanos(found));
    }

    private long since() {
        return millis(clock.readableSince());
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
