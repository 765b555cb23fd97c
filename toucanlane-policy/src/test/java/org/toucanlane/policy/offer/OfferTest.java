package org.toucanlane.policy.offer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.toucanlane.policy.capacity.EngineProfile;
import org.toucanlane.policy.placement.EndpointLoad;

class OfferTest {

    private static final long MILLI = 1_000_000;
    private static final Duration OBJECTIVE = Duration.ofSeconds(1);

    private final HeldOffer held = new HeldOffer();

    @Test
    void partsAddUpToTheOfferAndTheRestRotates() {
        ServiceOffer offer = new ServiceOffer(ServiceOffer.Demand.NONE, 8, 8_000, 3);
        assertThat(IntStream.range(0, 3).map(host -> offer.part(host, 3).places()))
                .containsExactlyInAnyOrder(3, 3, 2);
        assertThat(IntStream.range(0, 3)
                        .mapToLong(host -> offer.part(host, 3).tokens())
                        .sum())
                .isEqualTo(8_000);
        ServiceOffer single = new ServiceOffer(ServiceOffer.Demand.NONE, 1, 1_000, 0);
        IntStream.range(0, 5)
                .forEach(turn -> assertThat(IntStream.range(0, 5)
                                .filter(host -> new ServiceOffer(single.demand(), 1, 1_000, turn)
                                        .part(host, 5)
                                        .hasRoom()))
                        .containsExactly((5 - turn) % 5));
    }

    @Test
    void whatTheReportCantIncludeStaysDeducted() {
        held.update(room(2, 1_000), 0);
        assertThat(held.covers(500, 0)).isTrue();
        held.spend(500, 100 * MILLI);
        held.spend(500, 300 * MILLI);
        assertThat(held.covers(0, 300 * MILLI)).isFalse();
        held.update(room(2, 1_000), 600 * MILLI);
        assertThat(held.placesLeft(600 * MILLI))
                .as("the first request is included")
                .isEqualTo(1);
        held.update(room(9, 9_000), 500 * MILLI);
        assertThat(held.placesLeft(600 * MILLI)).as("an older report").isEqualTo(1);
    }

    @Test
    void offersExpireAndAreWithdrawn() {
        assertThat(held.covers(0, 0)).as("no report").isFalse();
        held.update(room(5, 5_000), 0);
        long last = HeldOffer.MAX_AGE.toNanos();
        assertThat(held.covers(0, last)).isTrue();
        assertThat(held.covers(0, last + 1)).isFalse();
        held.withdraw(Duration.ofMillis(700), 100 * MILLI);
        held.update(room(5, 5_000), 300 * MILLI);
        assertThat(held.covers(0, 799 * MILLI)).isFalse();
        assertThat(held.covers(0, 800 * MILLI)).isTrue();
    }

    /** Requests that need no offer are recorded, too, also while no report arrives. */
    @Test
    void forgetsOldRequestsWithoutReports() {
        IntStream.range(0, 1_000).forEach(index -> held.spend(10, index * 10 * MILLI));
        held.update(room(1_000, 100_000), 0);
        assertThat(held.placesLeft(0)).isBetween(1_000 - 241, 1_000 - 240);
    }

    /** A wait that swings between the two thresholds changes the decision once. */
    @Test
    void overflowEndsWellBelowTheWaitAtWhichItBegan() {
        OverflowGate gate = new OverflowGate();
        assertThat(gate.update(249, OBJECTIVE)).isFalse();
        assertThat(gate.update(250, OBJECTIVE)).isTrue();
        assertThat(gate.update(130, OBJECTIVE)).isTrue();
        assertThat(gate.update(260, OBJECTIVE)).isTrue();
        assertThat(gate.update(124, OBJECTIVE)).isFalse();
        assertThat(gate.update(240, OBJECTIVE)).isFalse();
    }

    @Test
    void offersNothingThatItsOwnCallersNeed() {
        EndpointLoad idle = new EndpointLoad("e", 1, 16, 0, 0, 0, 500_000, 1, 0, 600, EngineProfile.START);
        ServiceOffer offer = SpareCapacity.offer(List.of(idle), ServiceOffer.Demand.NONE, OBJECTIVE, 0);
        assertThat(offer.places()).isBetween(16, 64);
        assertThat(offer.tokens()).isPositive();
        ServiceOffer.Demand tokens = new ServiceOffer.Demand(5, 60_000);
        assertThat(SpareCapacity.offer(List.of(idle), tokens, OBJECTIVE, 0).hasRoom())
                .isFalse();
        ServiceOffer.Demand requests = new ServiceOffer.Demand(100, 0);
        assertThat(SpareCapacity.offer(List.of(idle), requests, OBJECTIVE, 0).hasRoom())
                .isFalse();
        EndpointLoad full = idle.plus(60, 60_000);
        assertThat(SpareCapacity.offer(List.of(full), ServiceOffer.Demand.NONE, OBJECTIVE, 0)
                        .hasRoom())
                .isFalse();
        assertThat(SpareCapacity.offer(List.of(), ServiceOffer.Demand.NONE, OBJECTIVE, 0)
                        .hasRoom())
                .isFalse();
    }

    @Test
    void demandFollowsWithinASecond() {
        ArrivalRate rate = new ArrivalRate();
        IntStream.range(0, 300).forEach(index -> rate.record(1_000, index * 10 * MILLI));
        assertThat(rate.rate(3_000 * MILLI).requestsPerSecond()).isBetween(90.0, 110.0);
        assertThat(rate.rate(3_000 * MILLI).tokensPerSecond()).isBetween(90_000.0, 110_000.0);
        assertThat(rate.rate(4_000 * MILLI).requestsPerSecond()).isLessThan(30);
    }

    private static ServiceOffer room(int places, long tokens) {
        return new ServiceOffer(ServiceOffer.Demand.NONE, places, tokens, 0);
    }
}
