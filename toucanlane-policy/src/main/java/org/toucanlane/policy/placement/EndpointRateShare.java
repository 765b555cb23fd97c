package org.toucanlane.policy.placement;

import com.google.common.base.Preconditions;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.toucanlane.coordination.hash.RendezvousHash;

/**
 * One host's share of a request rate that an endpoint takes from all hosts together.
 *
 * <p>Load pattern: an endpoint returns while dozens of hosts have requests for it. If each host sent its first request
 * at once, the endpoint would receive as many requests as there are hosts within its first second. Instead the hosts
 * take turns of one request in round-robin order; the order is by hash and differs between endpoints. An unused turn
 * expires, so that unused turns cannot accumulate into a burst. Immutable.
 *
 * @param hostIndex position of this host in the round-robin order, from 0
 * @param hostCount number of hosts that can reach the endpoint
 * @param requestsPerSecond request rate over all hosts
 */
public record EndpointRateShare(int hostIndex, int hostCount, double requestsPerSecond) {

    private static final double NANOS_PER_SECOND = 1e9;

    /** Validates the components. */
    public EndpointRateShare {
        Preconditions.checkArgument(
                hostIndex >= 0 && hostIndex < hostCount,
                "hostIndex must be from 0 to below %s: %s",
                hostCount,
                hostIndex);
        Preconditions.checkArgument(requestsPerSecond > 0, "requestsPerSecond must be positive: %s", requestsPerSecond);
    }

    /**
     * Returns the share of the host {@code self}.
     *
     * @param others names of the other hosts that can reach the endpoint
     */
    public static EndpointRateShare of(String self, List<String> others, String endpoint, double requestsPerSecond) {
        long key = RendezvousHash.hash(endpoint);
        long own = RendezvousHash.weight(key, RendezvousHash.hash(self));
        long earlier = others.stream()
                .filter(other -> RendezvousHash.weight(key, RendezvousHash.hash(other)) < own)
                .count();
        return new EndpointRateShare((int) earlier, others.size() + 1, requestsPerSecond);
    }

    /**
     * Returns the sequence number of the current turn if it belongs to this host, or empty if it belongs to another.
     * The host may send one request per turn.
     *
     * @param elapsed time since the first turn began
     */
    public OptionalLong turnAt(Duration elapsed) {
        long current = turnNumber(elapsed);
        return Math.floorMod(current, hostCount) == hostIndex ? OptionalLong.of(current) : OptionalLong.empty();
    }

    /** Returns the sequence number of the current turn, whichever host it belongs to. */
    long turnNumber(Duration elapsed) {
        return (long) Math.floor(elapsed.toNanos() / NANOS_PER_SECOND * requestsPerSecond);
    }

    /**
     * Returns the time until this host's next turn begins; zero during one.
     *
     * @param elapsed time since the first turn began
     * @param usedTurn sequence number of a turn that the host has used already
     */
    Duration timeToTurn(Duration elapsed, long usedTurn) {
        long current = turnNumber(elapsed);
        long next = current + Math.floorMod(hostIndex - current, hostCount);
        if (next == usedTurn) {
            next += hostCount;
        }
        double start = next / requestsPerSecond * NANOS_PER_SECOND;
        return Duration.ofNanos((long) Math.max(0, Math.ceil(start - elapsed.toNanos())));
    }
}
