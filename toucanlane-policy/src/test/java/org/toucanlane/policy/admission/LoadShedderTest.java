package org.toucanlane.policy.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class LoadShedderTest {

    private static final Duration OBJECTIVE = Duration.ofMillis(800);

    @Test
    void admitsARequestThatCanBeOnTime() {
        assertThat(shed(600, 10, 0)).isEmpty();
    }

    @Test
    void rejectsALateRequestWithARetryAfterDelay() {
        Duration retryAfter = shed(1_400, 10, 0).orElseThrow();
        assertThat(retryAfter).isBetween(Duration.ofMillis(600), Duration.ofSeconds(1));
    }

    @Test
    void reservesCapacityForMoreUrgentRequests() {
        assertThat(shed(600, 10, 0)).isEmpty();
        assertThat(shed(600, 10, 2)).isPresent();
    }

    @Test
    void admitsALargePromptWithoutABacklog() {
        assertThat(shed(1_500, 1_400, 1)).isEmpty();
    }

    @Test
    void retryAfterDelayGrowsWithTheDurationOfTheOverload() {
        Duration early = LoadShedder.shed(900, 10, new AdmissionLimit(OBJECTIVE, 0), Duration.ZERO)
                .orElseThrow();
        Duration late = LoadShedder.shed(900, 10, new AdmissionLimit(OBJECTIVE, 0), Duration.ofSeconds(2))
                .orElseThrow();
        assertThat(late).isGreaterThan(early);
        assertThat(LoadShedder.shed(900, 10, new AdmissionLimit(OBJECTIVE, 0), Duration.ofHours(1))
                        .orElseThrow())
                .isLessThanOrEqualTo(Duration.ofMillis(2_500));
    }

    /**
     * Guards against rejecting all requests of a service indefinitely: a far too high estimate is corrected only if a
     * request is admitted and measured.
     */
    @Test
    void admitsARequestWithoutABacklogWhateverTheEstimate() {
        assertThat(LoadShedder.shed(0, 60_000, new AdmissionLimit(OBJECTIVE, 5), Duration.ZERO))
                .isEmpty();
    }

    /** Simulates ten seconds at twice the capacity of an endpoint, with one request per millisecond. */
    @Test
    void keepsResponsesOnTimeAtTwiceTheCapacity() {
        assertThat(onTimeFraction(true)).isGreaterThan(0.48);
        assertThat(onTimeFraction(false)).isLessThan(0.2);
    }

    private static double onTimeFraction(boolean shedLoad) {
        double serviceMillis = 2;
        double freeAt = 0;
        int onTime = 0;
        int requests = 10_000;
        for (int now = 0; now < requests; now++) {
            double estimate = Math.max(0, freeAt - now) + serviceMillis;
            if (shedLoad && shed(estimate, serviceMillis, 0).isPresent()) {
                continue;
            }
            freeAt = Math.max(now, freeAt) + serviceMillis;
            onTime += freeAt - now <= OBJECTIVE.toMillis() ? 1 : 0;
        }
        return (double) onTime / requests;
    }

    private static Optional<Duration> shed(double estimate, double own, int rank) {
        return LoadShedder.shed(estimate - own, own, new AdmissionLimit(OBJECTIVE, rank), Duration.ZERO);
    }
}
