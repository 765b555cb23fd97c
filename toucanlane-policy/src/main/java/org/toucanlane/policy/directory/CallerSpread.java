package org.toucanlane.policy.directory;

import com.google.common.base.Preconditions;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalDouble;
import org.toucanlane.coordination.hash.RendezvousHash;

/**
 * Selects the hosts of a region that one caller is told of, so that hosts get requests in proportion to their capacity.
 *
 * <p>Load pattern: hosts whose capacities differ severalfold, behind callers that connect to a random one of the hosts
 * they are told of. If each caller were told of all hosts, the small ones would be full while the large ones are nearly
 * idle. Instead a host with half the capacity of the largest one is named to half of the callers.
 *
 * <p>Invariants: the selection depends only on the caller and on the hosts, so that a caller keeps its connections while
 * the hosts stay the same; the host with the largest capacity is always selected; if the capacities differ by less than
 * {@value #MAX_EVEN_RATIO} times, all hosts are. Stateless and thread-safe.
 */
public final class CallerSpread {

    /** Ratio of the largest to the smallest capacity up to which hosts count as equal. */
    static final double MAX_EVEN_RATIO = 2;

    /** Minimum number of hosts that a caller is told of, so that it has others to turn to. */
    static final int MIN_HOSTS = 4;

    private static final double HASH_RANGE = 0x1p64;

    private CallerSpread() {}

    /**
     * Returns the names of the hosts for a caller.
     *
     * @param hosts the live hosts of a region
     * @param caller name that identifies the caller
     */
    public static List<String> select(Collection<Candidate> hosts, String caller) {
        double largest = hosts.stream().mapToDouble(Candidate::capacity).max().orElse(0);
        OptionalDouble smallest =
                hosts.stream().mapToDouble(Candidate::capacity).min();
        if (smallest.isEmpty() || largest < MAX_EVEN_RATIO * smallest.getAsDouble()) {
            return hosts.stream().map(Candidate::name).toList();
        }
        long callerHash = RendezvousHash.hash(caller);
        List<Ranked> ranked = hosts.stream()
                .map(host -> new Ranked(host.name(), position(callerHash, host.name()) * largest / host.capacity()))
                .sorted(Comparator.comparingDouble(Ranked::rank).thenComparing(Ranked::name))
                .toList();
        long selected = ranked.stream().filter(host -> host.rank() < 1).count();
        return ranked.stream()
                .limit(Math.max(MIN_HOSTS, selected))
                .map(Ranked::name)
                .toList();
    }

    /** Returns a number from 0 to below 1 that is uniformly distributed over callers and hosts. */
    private static double position(long callerHash, String host) {
        return RendezvousHash.weight(callerHash, RendezvousHash.hash(host)) / HASH_RANGE + 0.5;
    }

    /**
     * A live host.
     *
     * @param name name of the host
     * @param capacity capacity relative to other hosts, positive
     */
    public record Candidate(String name, double capacity) {

        /** Validates the components. */
        public Candidate {
            Preconditions.checkArgument(capacity > 0, "capacity of host %s must be positive: %s", name, capacity);
        }
    }

    /** A host with its rank; the lower the rank, the more callers are told of it. */
    private record Ranked(String name, double rank) {}
}
