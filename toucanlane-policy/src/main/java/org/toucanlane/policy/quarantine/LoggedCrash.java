package org.toucanlane.policy.quarantine;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.toucanlane.coordination.hash.RendezvousHash;

/**
 * A crash of an endpoint, with the requests that any host had under way there.
 *
 * <p>Keeps at most {@link #MAX_SUSPECTS} suspects of at most {@link #MAX_SEGMENTS} segments. Which ones are kept depends
 * on the endpoint and not on the order of arrival, so all hosts keep the same ones, and a segment that is dropped at one
 * endpoint is likely kept at the next. Not thread-safe.
 */
final class LoggedCrash {

    static final int MAX_SUSPECTS = 48;
    static final int MAX_SEGMENTS = 8;

    private final int endpoint;
    private final Set<List<String>> suspects = new HashSet<>();
    private final Map<String, Integer> positions = new HashMap<>();
    private long time;

    LoggedCrash(int endpoint, long time) {
        this.endpoint = endpoint;
        this.time = time;
    }

    int endpoint() {
        return endpoint;
    }

    /** Earliest time at which a host saw the crash, in monotonic nanoseconds. */
    long time() {
        return time;
    }

    /** Position in its prompt of each segment of a suspect; the last position if there are several. */
    Map<String, Integer> positions() {
        return positions;
    }

    Set<List<String>> suspects() {
        return suspects;
    }

    boolean involves(String segment) {
        return positions.containsKey(segment);
    }

    /** Moves the time to {@code seen} if that is earlier. Returns whether it is. */
    boolean moveBackTo(long seen) {
        boolean earlier = seen - time < 0;
        time = earlier ? seen : time;
        return earlier;
    }

    /** Adds suspects. Returns those that were not known and are kept. */
    Set<List<String>> addAll(List<List<String>> others) {
        Set<List<String>> added = others.stream()
                .filter(suspect -> !suspect.isEmpty())
                .map(this::truncate)
                .filter(suspect -> !suspects.contains(suspect))
                .collect(Collectors.toSet());
        if (!added.isEmpty()) {
            suspects.addAll(added);
            dropSurplus();
            added.retainAll(suspects);
            positions.clear();
            suspects.forEach(suspect ->
                    IntStream.range(0, suspect.size()).forEach(i -> positions.merge(suspect.get(i), i, Math::max)));
        }
        return added;
    }

    /** Returns the order in which suspects of a crash of {@code endpoint} are kept. */
    static Comparator<List<String>> preference(int endpoint) {
        return Comparator.<List<String>>comparingLong(suspect -> weight(endpoint, String.join(" ", suspect)))
                .thenComparing(List::toString);
    }

    private void dropSurplus() {
        if (suspects.size() > MAX_SUSPECTS) {
            Set<List<String>> kept = suspects.stream()
                    .sorted(preference(endpoint))
                    .limit(MAX_SUSPECTS)
                    .collect(Collectors.toSet());
            suspects.retainAll(kept);
        }
    }

    private List<String> truncate(List<String> suspect) {
        if (suspect.size() <= MAX_SEGMENTS) {
            return List.copyOf(suspect);
        }
        Set<Integer> kept = IntStream.range(0, suspect.size())
                .boxed()
                .sorted(Comparator.comparingLong(i -> weight(endpoint, suspect.get(i))))
                .limit(MAX_SEGMENTS)
                .collect(Collectors.toSet());
        return IntStream.range(0, suspect.size())
                .filter(kept::contains)
                .mapToObj(suspect::get)
                .toList();
    }

    private static long weight(int endpoint, String name) {
        return RendezvousHash.weight(endpoint, RendezvousHash.hash(name));
    }
}
