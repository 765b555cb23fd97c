package org.toucanlane.policy.quarantine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.toucanlane.policy.quarantine.FleetSimulation.CRASHING;
import static org.toucanlane.policy.quarantine.FleetSimulation.MILLI;
import static org.toucanlane.policy.quarantine.FleetSimulation.SECOND;

import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.toucanlane.policy.quarantine.FleetSimulation.Request;
import org.toucanlane.policy.quarantine.FleetSimulation.Settings;

class FleetQuarantineTest {

    private static final int ENDPOINTS = 13;

    private static Settings smallFleet(double crashingShare, long seed) {
        return new Settings(8, ENDPOINTS, 7, 30, crashingShare, seed);
    }

    /** Requests with one segment crashed 13 endpoints one after the other. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void keepsTheCrashingSegmentFromTheEndpoints(long seed) {
        FleetSimulation fleet = new FleetSimulation(smallFleet(0.05, seed));
        fleet.run(26 * SECOND);
        assertCrashingRequestsEnd(fleet);
        assertSoundRequestsGoOn(fleet);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void keepsTheCrashingSegmentFromALargeFleet(long seed) {
        FleetSimulation fleet = new FleetSimulation(new Settings(350, 800, 8, 150, 0.05, seed));
        fleet.run(11 * SECOND);
        assertCrashingRequestsEnd(fleet);
        assertSoundRequestsGoOn(fleet);
    }

    /** Each of three hosts has about 15 requests under way that begin at the endpoint that crashes. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void findsTheCrashingSegmentAmongManySuspects(long seed) {
        FleetSimulation fleet = new FleetSimulation(new Settings(3, ENDPOINTS, 2, 3_900, 0.000_4, seed));
        long time = 0;
        while (fleet.crashEvents().size() < 5 && time < 15 * SECOND) {
            time += 10 * MILLI;
            fleet.run(time);
        }
        long later = time + SECOND;
        fleet.run(later);
        assertThat(fleet.suspects.subList(0, 3))
                .as("suspects of the first crash")
                .allMatch(count -> count >= 8 && count <= 24);
        assertThat(fleet.hosts)
                .allSatisfy(host -> assertThat(host.quarantined(later)).containsExactly(CRASHING));
        fleet.run(26 * SECOND);
        assertCrashingRequestsEnd(fleet);
        assertSoundRequestsGoOn(fleet);
    }

    /** A request that came again crashed 21 endpoints, and segments of others were held back for it. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void keepsARequestThatComesAgainFromTheEndpoints(long seed) {
        assertRepeatedRequestEnds(smallFleet(0.05, seed), 26 * SECOND);
    }

    /** Each of three hosts has about 15 requests under way that begin at the endpoint that crashes. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void findsTheRequestThatComesAgainAmongManySuspects(long seed) {
        assertRepeatedRequestEnds(new Settings(3, ENDPOINTS, 2, 3_900, 0.000_4, seed), 26 * SECOND);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void keepsARequestThatComesAgainFromALargeFleet(long seed) {
        assertRepeatedRequestEnds(new Settings(350, 800, 8, 150, 0.05, seed), 11 * SECOND);
    }

    /** Crashing and sound requests of a first segment are both rare, so that no sound one may end between crashes. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void tellsTheCrashingSegmentFromARareFirstSegment(long seed) {
        FleetSimulation fleet = new FleetSimulation(new Settings(8, ENDPOINTS, 7, 2, 0.5, seed));
        fleet.run(60 * SECOND);
        assertCrashingRequestsEnd(fleet);
        assertSoundRequestsGoOn(fleet);
    }

    /** Clients go on to send crashing requests for ten minutes, in which hold times from 120 s on double with each trial. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void makesFewTrials(long seed) {
        FleetSimulation fleet = new FleetSimulation(smallFleet(0.05, seed));
        fleet.run(600 * SECOND);
        assertThat(fleet.crashingSendsAfter(fleet.crashes.get(4) + 5 * SECOND)).isBetween(1L, 3L);
        assertSoundRequestsGoOn(fleet);
    }

    /** All endpoints of a data centre lose power, three times. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void ignoresTheLossOfADataCentre(long seed) {
        FleetSimulation fleet = new FleetSimulation(new Settings(8, ENDPOINTS, 7, 200, 0, seed));
        IntStream.of(4, 9, 14)
                .forEach(second -> IntStream.range(0, 7)
                        .forEach(endpoint -> fleet.at(
                                second * SECOND + endpoint * 35 * MILLI, () -> fleet.crash(endpoint, 3 * SECOND))));
        fleet.run(20 * SECOND);
        assertNothingIsHeld(fleet);
    }

    /** The endpoints of a service go down and come back by turns. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void ignoresFlappingEndpoints(long seed) {
        FleetSimulation fleet = new FleetSimulation(new Settings(8, 4, 7, 60, 0, seed));
        IntStream.range(4, 40).forEach(i -> fleet.at(i * 1_250 * MILLI, () -> fleet.crash(i % 4, 2 * SECOND)));
        fleet.run(52 * SECOND);
        assertNothingIsHeld(fleet);
    }

    /** The endpoints go down so soon after they come back that most answers break. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void holdsFewRequestsWhileMostAnswersBreak(long seed) {
        FleetSimulation fleet = new FleetSimulation(new Settings(8, 4, 7, 60, 0, seed));
        IntStream.range(4, 64).forEach(i -> fleet.at(i * 500 * MILLI, () -> fleet.crash(i % 4, 1_200 * MILLI)));
        fleet.run(36 * SECOND);
        assertThat(fleet.shareSent(request -> true)).isGreaterThanOrEqualTo(0.95);
    }

    /** An endpoint loses 40 in 100 answers, and a segment goes there first each time. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void ignoresAFaultyEndpoint(long seed) {
        FleetSimulation fleet = new FleetSimulation(smallFleet(0, seed));
        fleet.sendSegmentsToTheSameEndpoint();
        fleet.loseAnswers(5, 0.4);
        fleet.run(40 * SECOND);
        assertNothingIsHeld(fleet);
    }

    /** Five in 100 answers of all endpoints are lost for some seconds. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void ignoresLostAnswers(long seed) {
        FleetSimulation fleet = new FleetSimulation(new Settings(8, ENDPOINTS, 7, 100, 0, seed));
        fleet.at(4 * SECOND, () -> loseAnswers(fleet, 0.05));
        fleet.at(12 * SECOND, () -> loseAnswers(fleet, 0));
        fleet.run(25 * SECOND);
        assertNothingIsHeld(fleet);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void ignoresSingleResets(long seed) {
        FleetSimulation fleet = new FleetSimulation(new Settings(8, ENDPOINTS, 7, 60, 0, seed));
        loseAnswers(fleet, 0.01);
        fleet.run(60 * SECOND);
        assertNothingIsHeld(fleet);
    }

    /** Answers are lost while a crashing segment comes, too. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void findsTheCrashingSegmentAmongLostAnswers(long seed) {
        FleetSimulation fleet = new FleetSimulation(new Settings(8, ENDPOINTS, 7, 60, 0.02, seed));
        loseAnswers(fleet, 0.05);
        fleet.run(26 * SECOND);
        assertCrashingRequestsEnd(fleet);
        assertSoundRequestsGoOn(fleet);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void tellsAHostThatStartsLater(long seed) {
        FleetSimulation fleet = new FleetSimulation(smallFleet(0.05, seed));
        fleet.run(20 * SECOND);
        fleet.restart(3);
        assertThat(fleet.hosts.get(3).quarantined(20 * SECOND)).isEmpty();
        fleet.run(22 * SECOND);
        assertThat(fleet.hosts.get(3).quarantined(22 * SECOND)).containsExactly(CRASHING);
        fleet.run(26 * SECOND);
        assertSoundRequestsGoOn(fleet);
    }

    private static void loseAnswers(FleetSimulation fleet, double probability) {
        IntStream.range(0, ENDPOINTS).forEach(endpoint -> fleet.loseAnswers(endpoint, probability));
    }

    private static void assertCrashingRequestsEnd(FleetSimulation fleet) {
        assertThat(fleet.crashes).hasSizeGreaterThanOrEqualTo(3);
        long fifth = fleet.crashes.get(Math.min(4, fleet.crashes.size() - 1));
        assertThat(fleet.crashingSendsAfter(fifth + 5 * SECOND)).isLessThanOrEqualTo(3);
        assertThat(fleet.hosts)
                .allSatisfy(
                        host -> assertThat(host.quarantined(fifth + 5 * SECOND)).contains(CRASHING));
    }

    private static void assertRepeatedRequestEnds(Settings settings, long time) {
        FleetSimulation fleet = new FleetSimulation(settings);
        fleet.crashOnRequest();
        fleet.run(time);
        assertCrashingRequestsEnd(fleet);
        assertThat(fleet.crashingSendsAfter(fleet.crashes.get(2) + 5 * SECOND)).isLessThanOrEqualTo(3);
        assertSoundRequestsGoOn(fleet);
    }

    private static void assertSoundRequestsGoOn(FleetSimulation fleet) {
        Predicate<Request> sound = request -> !request.crashing();
        long third = fleet.crashes.get(2);
        assertThat(fleet.shareSent(sound)).isGreaterThanOrEqualTo(0.98);
        fleet.requests.stream()
                .filter(Request::crashing)
                .map(request -> request.segments().get(0))
                .distinct()
                .filter(first -> fleet.requests.stream().anyMatch(sound.and(isAfter(first, third))))
                .forEach(first -> assertThat(fleet.shareSent(sound.and(isAfter(first, third))))
                        .as(first)
                        .isGreaterThanOrEqualTo(0.5));
    }

    private static Predicate<Request> isAfter(String firstSegment, long time) {
        return request -> request.time() > time && request.segments().get(0).equals(firstSegment);
    }

    private static void assertNothingIsHeld(FleetSimulation fleet) {
        assertThat(fleet.everQuarantined).isEmpty();
        assertThat(fleet.shareSent(request -> true)).isGreaterThanOrEqualTo(0.99);
    }
}
