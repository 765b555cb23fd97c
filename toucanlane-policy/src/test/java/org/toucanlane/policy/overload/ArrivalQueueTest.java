package org.toucanlane.policy.overload;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ArrivalQueueTest {

    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final ArrivalQueue.Terms URGENT =
            new ArrivalQueue.Terms(0, Duration.ofMillis(1_000), Duration.ofSeconds(4));
    private static final ArrivalQueue.Terms CHEAP =
            new ArrivalQueue.Terms(2, Duration.ofMillis(3_000), Duration.ofSeconds(12));

    private final ArrivalQueue<String> queue = new ArrivalQueue<>();

    @Test
    void mostUrgentFirstAndTheNewestOfThese() {
        queue.add("cheap", CHEAP, 900 * MILLI, 900 * MILLI);
        queue.add("old", URGENT, 100 * MILLI, 900 * MILLI);
        queue.add("late", URGENT, 0, 900 * MILLI);
        queue.add("new", URGENT, 800 * MILLI, 900 * MILLI);
        assertThat(queue.takeRefused(1_050 * MILLI, 0)).isEmpty();
        assertThat(drain(1_050 * MILLI)).containsExactly("new", "old", "cheap", "late");
    }

    @Test
    void refusesWhatItsCallerHasGivenUp() {
        queue.add("given up", URGENT, 0, 900 * MILLI);
        assertThat(queue.takeRefused(3_999 * MILLI, 0)).isEmpty();
        assertThat(queue.takeRefused(4_000 * MILLI, 0)).containsExactly("given up");
        assertThat(queue.isEmpty()).isTrue();
    }

    @Test
    void refusesWhatKeepsOthersFromBeingOnTime() {
        queue.add("too late", URGENT, 0, 900 * MILLI);
        queue.add("cheap and late", CHEAP, -1_200 * MILLI, 900 * MILLI);
        queue.add("on time", URGENT, 1_900 * MILLI, 900 * MILLI);
        assertThat(queue.takeRefused(1_900 * MILLI, 200 * MILLI)).containsExactly("too late", "cheap and late");
        assertThat(drain(1_900 * MILLI)).containsExactly("on time");
    }

    @Test
    void oneStallRefusesNothingThatIsStillWanted() {
        queue.add("too late", URGENT, 0, 2_100 * MILLI);
        queue.add("on time", URGENT, 1_900 * MILLI, 2_100 * MILLI);
        assertThat(queue.takeRefused(2_349 * MILLI, 0)).isEmpty();
        assertThat(queue.takeRefused(2_350 * MILLI, 0)).containsExactly("too late");
    }

    @Test
    void handlesLateRequestsIfNothingElseWaits() {
        queue.add("late", URGENT, 0, 900 * MILLI);
        assertThat(queue.takeRefused(2_500 * MILLI, 0)).isEmpty();
        assertThat(queue.takeNext(2_500 * MILLI, 0)).contains("late");
    }

    /**
     * Ten seconds of 60 urgent and 60 cheap requests a second, on a host that handles 40 a second: in order of arrival all
     * would be late after the second second.
     */
    @Test
    void hostWithATenthOfACoreIsOnTimeForTheUrgentOnes() {
        long handling = 25;
        List<Long> ages = new ArrayList<>();
        int cheapHandled = 0;
        long sent = 0;
        long cheapSent = 0;
        for (long now = 0; now < 10_000; now += handling) {
            for (; sent * 1_000 <= now * 60; sent++) {
                queue.add("u" + sent * 1_000 / 60, URGENT, sent * 1_000 / 60 * MILLI, now * MILLI);
            }
            for (; cheapSent * 1_000 <= now * 60; cheapSent++) {
                queue.add("c", CHEAP, cheapSent * 1_000 / 60 * MILLI, now * MILLI);
            }
            queue.takeRefused(now * MILLI, handling * MILLI);
            String next = queue.takeNext(now * MILLI, handling * MILLI).orElseThrow();
            if (next.equals("c")) {
                cheapHandled++;
            } else {
                ages.add(now - Long.parseLong(next.substring(1)));
            }
        }
        assertThat(ages).hasSize(400);
        assertThat(ages).allMatch(age -> age <= 1_000);
        assertThat(cheapHandled).isZero();
        assertThat(queue.size()).isLessThan(60 * 2 + 60 * 3 + 2);
    }

    private List<String> drain(long now) {
        List<String> order = new ArrayList<>();
        for (Optional<String> next = queue.takeNext(now, 0); next.isPresent(); next = queue.takeNext(now, 0)) {
            order.add(next.get());
        }
        return order;
    }
}
