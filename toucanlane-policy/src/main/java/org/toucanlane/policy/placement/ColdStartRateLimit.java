package org.toucanlane.policy.placement;

import com.google.common.base.Preconditions;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.toucanlane.coordination.hash.RendezvousHash;

/**
 * One host's share of the request rate that an endpoint can sustain during a cold start.
 *
 * <p>Load pattern: an endpoint returns while dozens of hosts have requests for it. If each host sent its first request
 * at once, the endpoint would receive as many requests as there are hosts within its first second. Instead the hosts
 * take turns of one request in round-robin order; the order is by hash and differs between endpoints. An unused turn
 * expires, so that unused turns cannot accumulate into a burst. Immutable.
 *
 * @param hostIndex position of this host in the round-robin order, from 0
 * @param hostCount number of hosts that can reach the endpoint
 * @param requestsPerSecond request rate that the endpoint can sustain during its cold start, over all hosts
 */
public record ColdStartRateLimit(int hostIndex, int hostCount, double requestsPerSecond) {

    private static final double NANOS_PER_SECOND = 1e9;

    /** Validates the components. */
    public ColdStartRateLimit {
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
    public static ColdStartRateLimit of(String self, List<String> others, String endpoint, double requestsPerSecond) {
        long key = RendezvousHash.hash(endpoint);
        long own = RendezvousHash.weight(key, RendezvousHash.hash(self));
        long earlier = others.stream()
                .filter(other -> RendezvousHash.weight(key, RendezvousHash.hash(other)) < own)
                .count();
        return new ColdStartRateLimit((int) earlier, others.size() + 1, requestsPerSecond);
    }

    /**
     * Returns the sequence number of the current turn if it belongs to this host, or empty if it belongs to another.
     * The host may send one request per turn.
     *
     * @param elapsed time since the start of the cold start
     */
    public OptionalLong turnAt(Duration elapsed) {
        long current = (long) Math.floor(elapsed.toNanos() / NANOS_PER_SECOND * requestsPerSecond);
        return Math.floorMod(current, hostCount) == hostIndex ? OptionalLong.of(current) : OptionalLong.empty();
    }
}
