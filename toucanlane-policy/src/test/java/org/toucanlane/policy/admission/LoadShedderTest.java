package org.toucanlane.policy.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class LoadShedderTest {

    private static final Duration OBJECTIVE = Duration.ofMillis(800);

    @Test
    void takesWhatCanBeOnTime() {
        assertThat(refuse(600, 10, 0)).isEmpty();
    }

    @Test
    void turnsAwayWhatWouldBeLateAndSaysWhenToComeBack() {
        Duration wait = refuse(1_400, 10, 0).orElseThrow();
        assertThat(wait).isBetween(Duration.ofMillis(600), Duration.ofSeconds(1));
    }

    @Test
    void leavesRoomForMoreUrgentRequests() {
        assertThat(refuse(600, 10, 0)).isEmpty();
        assertThat(refuse(600, 10, 2)).isPresent();
    }

    @Test
    void takesALargePromptWhereNothingWaits() {
        assertThat(refuse(1_500, 1_400, 1)).isEmpty();
    }

    @Test
    void sendsCallersAwayForLongerTheLongerAnOverloadLasts() {
        Duration early = LoadShedder.shed(900, 10, OBJECTIVE, 0, Duration.ZERO).orElseThrow();
        Duration late =
                LoadShedder.shed(900, 10, OBJECTIVE, 0, Duration.ofSeconds(2)).orElseThrow();
        assertThat(late).isGreaterThan(early);
        assertThat(LoadShedder.shed(900, 10, OBJECTIVE, 0, Duration.ofHours(1)).orElseThrow())
                .isLessThanOrEqualTo(Duration.ofMillis(2_500));
    }

    /** An estimate that was wrong by far once kept a service refusing everything for good. */
    @Test
    void takesARequestWhereNothingWaitsHoweverSlowTheEndpointSeems() {
        assertThat(LoadShedder.shed(0, 60_000, OBJECTIVE, 5, Duration.ZERO)).isEmpty();
    }

    /** Replays ten seconds at twice what an endpoint can answer, one request each millisecond. */
    @Test
    void keepsAnswersOnTimeAtTwiceTheCapacity() {
        assertThat(onTimeShare(true)).isGreaterThan(0.48);
        assertThat(onTimeShare(false)).isLessThan(0.2);
    }

    private static double onTimeShare(boolean bounded) {
        double serviceMillis = 2;
        double freeAt = 0;
        int onTime = 0;
        int requests = 10_000;
        for (int now = 0; now < requests; now++) {
            double estimate = Math.max(0, freeAt - now) + serviceMillis;
            if (bounded && refuse(estimate, serviceMillis, 0).isPresent()) {
                continue;
            }
            freeAt = Math.max(now, freeAt) + serviceMillis;
            onTime += freeAt - now <= OBJECTIVE.toMillis() ? 1 : 0;
        }
        return (double) onTime / requests;
    }

    private static Optional<Duration> refuse(double estimate, double own, int rank) {
        return LoadShedder.shed(estimate - own, own, OBJECTIVE, rank, Duration.ZERO);
    }
}
