package org.toucanlane.policy.queue;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.toucanlane.policy.admission.AdmissionLimit;
import org.toucanlane.policy.capacity.EngineProfile;
import org.toucanlane.policy.placement.EndpointLoad;
import org.toucanlane.policy.placement.LatencyEstimator;

class WaitingQueueTest {

    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final Duration URGENT_OBJECTIVE = Duration.ofSeconds(1);
    private static final Duration PATIENT_OBJECTIVE = Duration.ofSeconds(3);
    private static final PlaceEstimate FULL = estimate(40, 200, 500);

    private final WaitingQueue<String> queue = new WaitingQueue<>(2_000);

    @Test
    void ordersByRankThenTimeLeftThenSize() {
        offer("patient", request(2, 0, PATIENT_OBJECTIVE, 10), 0);
        offer("large", request(1, 5, PATIENT_OBJECTIVE, 900), 5);
        offer("small", request(1, 5, PATIENT_OBJECTIVE, 10), 5);
        offer("earlier", request(1, 1, PATIENT_OBJECTIVE, 900), 5);
        offer("urgent", request(0, 6, URGENT_OBJECTIVE, 900), 6);
        assertThat(queue.first(10).stream().map(WaitingQueue.Ticket::item))
                .containsExactly("urgent", "earlier", "small", "large", "patient");
        assertThat(queue.clear()).hasSize(5).last().isEqualTo("patient");
        assertThat(queue.size()).isZero();
    }

    @Test
    void aRepeatDoesNotPassThoseThatWaitedAndAnUrgentArrivalDoes() {
        offer("first", request(2, 0, PATIENT_OBJECTIVE, 500), 0);
        assertThat(queue.hasRequestBefore(request(2, 100, PATIENT_OBJECTIVE, 1)))
                .as("the first goes before a repeat")
                .isTrue();
        assertThat(queue.hasRequestBefore(request(0, 100, URGENT_OBJECTIVE, 900)))
                .as("the first goes before an urgent request")
                .isFalse();
    }

    @Test
    void refusesAtOnceWhatCannotBeginInTime() {
        assertThat(queue.offer(request(0, 0, URGENT_OBJECTIVE, 1), "late", estimate(900, 200, 2_000), 0))
                .isEmpty();
        offer("first", request(2, 0, PATIENT_OBJECTIVE, 1), 0);
        freePlaces(10, 100);
        int admitted = 1;
        while (offer("r", request(2, 1_000, PATIENT_OBJECTIVE, 1), 1_000).isPresent()) {
            admitted++;
        }
        assertThat(admitted)
                .as("requests in the queue at about 10 places a second and 3 s")
                .isBetween(25, 32);
    }

    @Test
    void holdsPastAnEighthOfTheObjectiveOnlyForAPlaceSoonerThanTheRetry() {
        offer("near", request(2, 0, PATIENT_OBJECTIVE, 1), 0);
        WaitingQueue.Ticket<String> far =
                offer("far", request(2, 1, PATIENT_OBJECTIVE, 1), 1).orElseThrow();
        queue.update(far, estimate(900, 200, 500), 370 * MILLI);
        assertThat(queue.expire(374 * MILLI)).isEmpty();
        assertThat(queue.expire(380 * MILLI))
                .containsExactly(new WaitingQueue.Departure<>("far", WaitingQueue.Reason.HELD, Duration.ofMillis(500)));
        assertThat(queue.first(2)).extracting(WaitingQueue.Ticket::item).containsExactly("near");
        assertThat(queue.expire(879 * MILLI))
                .as("before the retry of a request held at 380 ms would come")
                .isEmpty();
        assertThat(queue.expire(881 * MILLI))
                .extracting(WaitingQueue.Departure::reason)
                .containsExactly(WaitingQueue.Reason.HELD);
    }

    @Test
    void servesALateRequestAfterAllOthersAndForOneRetryDelayAtMost() {
        offer("late", request(0, 0, URGENT_OBJECTIVE, 1), 0);
        offer("patient", request(2, 0, PATIENT_OBJECTIVE, 1), 0);
        assertThat(queue.expire(900 * MILLI)).isEmpty();
        assertThat(queue.first(2)).extracting(WaitingQueue.Ticket::item).containsExactly("patient", "late");
        assertThat(queue.expire(1_300 * MILLI)).isEmpty();
        assertThat(queue.expire(1_401 * MILLI))
                .extracting(WaitingQueue.Departure::item, WaitingQueue.Departure::reason)
                .containsExactly(
                        tuple("patient", WaitingQueue.Reason.HELD), tuple("late", WaitingQueue.Reason.NOT_IN_TIME));
    }

    @Test
    void aRequestWhoseDeadlinePassesBeforeItsPlaceLeaves() {
        WaitingRequest request = new WaitingRequest(2, 0, PATIENT_OBJECTIVE, 300 * MILLI, 1, "a", 0);
        WaitingQueue.Ticket<String> ticket = queue.offer(request, "r", FULL, 0).orElseThrow();
        queue.update(ticket, estimate(200, 0, 500), 150 * MILLI);
        assertThat(queue.expire(150 * MILLI))
                .extracting(WaitingQueue.Departure::reason)
                .containsExactly(WaitingQueue.Reason.NOT_IN_TIME);
    }

    @Test
    void aFullQueueGivesUpTheLastForOneThatGoesBefore() {
        WaitingQueue<String> two = new WaitingQueue<>(2);
        two.offer(request(2, 0, PATIENT_OBJECTIVE, 1), "a", FULL, 0);
        two.offer(request(2, 1, PATIENT_OBJECTIVE, 1), "b", FULL, MILLI);
        assertThat(two.offer(request(2, 2, PATIENT_OBJECTIVE, 1), "c", FULL, 2 * MILLI))
                .isEmpty();
        assertThat(two.offer(request(0, 2, URGENT_OBJECTIVE, 1), "d", FULL, 2 * MILLI))
                .isPresent();
        assertThat(two.expire(3 * MILLI))
                .extracting(WaitingQueue.Departure::item, WaitingQueue.Departure::reason)
                .containsExactly(tuple("b", WaitingQueue.Reason.FULL));
    }

    @Test
    void aRequestWhoseCallerLeavesIsRemovedOnce() {
        WaitingQueue.Ticket<String> gone =
                offer("gone", request(2, 0, PATIENT_OBJECTIVE, 1), 0).orElseThrow();
        offer("next", request(2, 1, PATIENT_OBJECTIVE, 1), 1);
        assertThat(queue.remove(gone)).isTrue();
        assertThat(queue.remove(gone)).isFalse();
        assertThat(queue.contains(gone)).isFalse();
        assertThat(queue.first(2)).extracting(WaitingQueue.Ticket::item).containsExactly("next");
    }

    /**
     * Replays four seconds in which a place comes free every 10 ms: first a burst of patient requests at 1.5 times that
     * rate, with urgent ones at a tenth of it, then a burst of urgent ones at nine tenths beside as many patient ones.
     */
    @Test
    void aPatientKindUsesWhatAnUrgentOneLeaves() {
        int[] sent = new int[2];
        int[] arrived = new int[2];
        int unused = 0;
        List<Long> urgentWaits = new ArrayList<>();
        for (long now = 0; now < 4_000; now++) {
            boolean patientBurst = now < 2_000;
            if (arrives(now, patientBurst ? 15 : 9)) {
                arrived[1]++;
                offer("patient", request(2, now, PATIENT_OBJECTIVE, 1), now);
            }
            if (arrives(now + 3, patientBurst ? 1 : 9)) {
                arrived[0]++;
                offer("urgent", request(0, now, URGENT_OBJECTIVE, 1), now);
            }
            if (now % 10 == 0) {
                queue.recordFreedPlace(now * MILLI);
                Optional<WaitingQueue.Ticket<String>> next =
                        queue.first(1).stream().findFirst();
                unused += next.isEmpty() ? 1 : 0;
                if (next.isPresent()) {
                    WaitingRequest request = next.get().request();
                    queue.recordSent(next.get());
                    sent[request.rank() == 0 ? 0 : 1]++;
                    long waited = now - request.arrivalNanos() / MILLI;
                    assertThat(waited)
                            .as("wait of %s", next.get().item())
                            .isLessThan(request.objective().toMillis());
                    if (request.rank() == 0) {
                        urgentWaits.add(waited);
                    }
                }
            }
            if (now % 20 == 0) {
                queue.expire(now * MILLI);
            }
        }
        assertThat(sent[0]).as("urgent requests sent").isGreaterThanOrEqualTo(arrived[0] - 1);
        assertThat(urgentWaits).allMatch(waited -> waited <= URGENT_OBJECTIVE.toMillis() / 8);
        assertThat(sent[1]).as("patient requests sent").isGreaterThan(400 - arrived[0] - 20);
        assertThat(unused).as("places without a request").isLessThan(20);
    }

    /**
     * Replays two seconds in which a place for a request of 100 tokens comes free every 10 ms and three accounts have
     * bought a third of that each. One sends six times as much, one its share, and one a tenth and only in the second half.
     */
    @Test
    void anAccountAtSixTimesItsRateGetsWhatOthersLeave() {
        Map<String, Integer> arrived = new HashMap<>();
        Map<String, Integer> sent = new HashMap<>();
        Map<String, Long> longestWait = new HashMap<>();
        for (long now = 0; now < 2_000; now++) {
            offerIf(arrives(now, 20), "busy", now, arrived);
            offerIf(arrives(now + 7, 3), "usual", now, arrived);
            offerIf(now >= 1_000 && now % 300 == 5, "small", now, arrived);
            if (now % 10 == 0) {
                queue.recordFreedPlace(now * MILLI);
                for (WaitingQueue.Ticket<String> next : queue.first(1)) {
                    queue.recordSent(next);
                    sent.merge(next.item(), 1, Integer::sum);
                    longestWait.merge(next.item(), now - next.request().arrivalNanos() / MILLI, Math::max);
                }
            }
            if (now % 20 == 0) {
                queue.expire(now * MILLI);
            }
        }
        assertThat(sent.get("usual")).isGreaterThanOrEqualTo(arrived.get("usual") - 2);
        assertThat(sent.get("small")).isEqualTo(arrived.get("small"));
        assertThat(longestWait.get("small")).isLessThanOrEqualTo(125);
        assertThat(longestWait.get("usual")).isLessThanOrEqualTo(375);
        assertThat(sent.values().stream().mapToInt(Integer::intValue).sum())
                .as("requests sent at 200 places")
                .isGreaterThan(195);
    }

    private void offerIf(boolean arrives, String account, long now, Map<String, Integer> arrived) {
        if (arrives) {
            arrived.merge(account, 1, Integer::sum);
            WaitingRequest request =
                    new WaitingRequest(2, now * MILLI, PATIENT_OBJECTIVE, (now + 5_000) * MILLI, 100, account, 3_333);
            queue.offer(request, account, FULL, now * MILLI);
        }
    }

    /**
     * A request that joined the line at an engine up to its own long objective would have urgent requests refused there,
     * since the estimate counts all that run.
     */
    @Test
    void theLineAtAnEngineIsBoundedByTheShortestObjective() {
        AdmissionLimit urgent = new AdmissionLimit(URGENT_OBJECTIVE, 0);
        AdmissionLimit ownObjective = new AdmissionLimit(PATIENT_OBJECTIVE, 2);
        AdmissionLimit shortest = new AdmissionLimit(URGENT_OBJECTIVE, 2);
        assertThat(urgent.admits(waitBehind(ownObjective), 0)).isFalse();
        assertThat(urgent.admits(waitBehind(shortest), 0)).isTrue();
    }

    /** Returns the estimated wait at an engine that has admitted as many requests as {@code limit} allows. */
    private static double waitBehind(AdmissionLimit limit) {
        int running = 0;
        while (limit.admits(waitMillis(running), 0)) {
            running++;
        }
        return waitMillis(running);
    }

    private static double waitMillis(int running) {
        EndpointLoad load = new EndpointLoad("e", 1, 16, running, 0, 0, 300_000, 1, 0, 800, EngineProfile.START);
        return LatencyEstimator.estimateMillis(load, 0, 0) - LatencyEstimator.unloadedMillis(load, 0);
    }

    /** Returns whether one of {@code perTenth} arrivals in each 100 ms comes in this millisecond. */
    private static boolean arrives(long millis, int perTenth) {
        return millis * perTenth / 100 != (millis + 1) * perTenth / 100;
    }

    private void freePlaces(int count, int everyMillis) {
        for (int i = 1; i <= count; i++) {
            queue.recordFreedPlace((long) i * everyMillis * MILLI);
        }
    }

    private Optional<WaitingQueue.Ticket<String>> offer(String item, WaitingRequest request, long nowMillis) {
        return queue.offer(request, item, FULL, nowMillis * MILLI);
    }

    private static WaitingRequest request(int rank, long arrivalMillis, Duration objective, long size) {
        return new WaitingRequest(rank, arrivalMillis * MILLI, objective, 5_000 * MILLI, size, "account", 0);
    }

    private static PlaceEstimate estimate(long untilPlace, long untilResponse, long retryAfter) {
        return new PlaceEstimate(
                Duration.ofMillis(untilPlace), Duration.ofMillis(untilResponse), Duration.ofMillis(retryAfter));
    }
}
