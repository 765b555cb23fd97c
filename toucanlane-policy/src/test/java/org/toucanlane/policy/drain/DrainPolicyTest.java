package org.toucanlane.policy.drain;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.function.LongUnaryOperator;
import org.junit.jupiter.api.Test;

class DrainPolicyTest {

    private static final Duration GRACE = Duration.ofMillis(7_300);
    private static final Duration TIME_LEFT = Duration.ofSeconds(20);
    private static final long ACCEPT_MILLIS = 2_800;

    private final ResponseTimes times = new ResponseTimes();
    private final Random random = new Random(10);

    @Test
    void takesWhatEndsWithItsDeadline() {
        assertThat(DrainPolicy.fits(GRACE, GRACE, Optional.empty())).isTrue();
        assertThat(DrainPolicy.fits(GRACE, GRACE.plusMillis(1), Optional.empty()))
                .isFalse();
        assertThat(DrainPolicy.fits(GRACE, GRACE, Optional.of(TIME_LEFT))).isTrue();
    }

    /** Requests with 5.7 s of work that come up to 2.8 s after the signal. */
    @Test
    void cutsNoRequestWhoseWorkIsLongerThanTheRestOfTheGracePeriod() {
        Replay replay = replay("once", () -> 1, size -> 5_700);
        assertThat(replay.cut()).isZero();
        assertThat(replay.refusedInVain()).isLessThan(replay.total());
    }

    @Test
    void takesAllRequestsThatEndWithinASecond() {
        Replay replay = replay("read", () -> 1, size -> 20 + random.nextInt(900));
        assertThat(replay.taken()).isEqualTo(replay.total());
        assertThat(replay.cut()).isZero();
    }

    /** Streams of 8 to 1,024 tokens: the short ones fit into any rest, the long ones don't. */
    @Test
    void tellsShortStreamsFromLongOnes() {
        Replay replay = replay("chat", () -> 8L << random.nextInt(8), tokens -> 150 + tokens * (7 + random.nextInt(3)));
        assertThat(replay.cut()).isZero();
        assertThat(replay.refusedInVain()).isLessThan(replay.total() / 10);
        assertThat(replay.taken()).isGreaterThan(replay.total() / 2);
    }

    /** Streams of any number of tokens up to 1,000, of engines whose speed varies. */
    @Test
    void cutsFewStreamsOfAnyLength() {
        Replay replay =
                replay("chat", () -> 1 + random.nextInt(1_000), tokens -> 150 + tokens * (7 + random.nextInt(3)));
        assertThat(replay.cut()).isLessThanOrEqualTo(replay.total() / 100);
        assertThat(replay.taken()).isGreaterThan(replay.refusedInVain());
    }

    /** One request in ten takes fifty times as long as the others. */
    @Test
    void cutsFewRequestsOfARouteWithRareLongOnes() {
        Replay replay = replay("mixed", () -> 1, size -> random.nextInt(10) == 0 ? 5_000 : 100);
        assertThat(replay.cut()).isLessThan(replay.total() / 50);
    }

    @Test
    void knowsNothingAfterFewResponses() {
        for (int i = 1; i < ResponseTimes.MIN_RESPONSES; i++) {
            times.record("once", 1, 100);
        }
        assertThat(times.expected("once", 1)).isEmpty();
        times.record("once", 1, 100);
        assertThat(times.expected("once", 1)).isPresent();
        assertThat(times.expected("other", 1)).isEmpty();
    }

    @Test
    void followsARouteWhoseResponsesHaveBecomeShorter() {
        record("once", 5_000);
        record("once", 100);
        assertThat(times.expected("once", 1)).hasValue(Duration.ofMillis(125));
    }

    @Test
    void forgetsTheKindThatWasUsedLeastRecently() {
        for (int i = 0; i <= ResponseTimes.MAX_KINDS; i++) {
            record("route" + i, 100);
        }
        assertThat(times.expected("route0", 1)).isEmpty();
        assertThat(times.expected("route1", 1)).isPresent();
    }

    private void record(String kind, double millis) {
        for (int i = 0; i < ResponseTimes.MAX_RESPONSES; i++) {
            times.record(kind, 1, millis);
        }
    }

    /** Records earlier requests, and replays those that come while the host is stopping. */
    private Replay replay(String kind, SizeSource sizes, LongUnaryOperator millisOf) {
        for (int i = 0; i < 200; i++) {
            long size = sizes.next();
            times.record(kind, size, millisOf.applyAsLong(size));
        }
        int total = 0;
        int taken = 0;
        int cut = 0;
        int refusedInVain = 0;
        for (long at = 0; at < ACCEPT_MILLIS; at += 5) {
            Duration left = GRACE.minusMillis(at);
            long size = sizes.next();
            long millis = millisOf.applyAsLong(size);
            boolean ends = millis <= left.toMillis();
            total++;
            if (DrainPolicy.fits(left, TIME_LEFT, times.expected(kind, size))) {
                taken++;
                cut += ends ? 0 : 1;
            } else {
                refusedInVain += ends ? 1 : 0;
            }
        }
        return new Replay(total, taken, cut, refusedInVain);
    }

    private interface SizeSource {
        long next();
    }

    /** The outcome of a replay, in requests. */
    private record Replay(int total, int taken, int cut, int refusedInVain) {}
}
