package org.toucanlane.policy.placement;

import com.google.common.base.Preconditions;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.toucanlane.coordination.hash.RendezvousHash;

/**
 * One host's part of the rate of requests that an endpoint bears while it is cold.
 *
 * <p>Load pattern: an endpoint comes back while dozens of hosts have requests for it. If each sent its first one at
 * once, the endpoint would get as many as there are hosts in its first second. The hosts take turns instead, one turn for
 * each request that it bears, in an order by hash that differs between endpoints. A turn that isn't used is lost, so that
 * unused ones can't add up to a burst. Immutable.
 *
 * @param hostIndex number of hosts whose turn comes earlier in each cycle
 * @param hostCount hosts that can reach the endpoint
 * @param requestsPerSecond requests that it bears in a second
 */
public record ColdStartRateLimit(int hostIndex, int hostCount, double requestsPerSecond) {

    private static final double NANOS_PER_SECOND = 1e9;

    /** Creates a part. */
    public ColdStartRateLimit {
        Preconditions.checkArgument(
                hostIndex >= 0 && hostIndex < hostCount, "turn must be from 0 to below %s: %s", hostCount, hostIndex);
        Preconditions.checkArgument(requestsPerSecond > 0, "perSecond must be positive: %s", requestsPerSecond);
    }

    /**
     * Returns the part of {@code self}.
     *
     * @param others names of the other hosts that can reach the endpoint
     */
    public static ColdStartRateLimit of(String self, List<String> others, String endpoint, double perSecond) {
        long key = RendezvousHash.hash(endpoint);
        long own = RendezvousHash.weight(key, RendezvousHash.hash(self));
        long earlier = others.stream()
                .filter(other -> RendezvousHash.weight(key, RendezvousHash.hash(other)) < own)
                .count();
        return new ColdStartRateLimit((int) earlier, others.size() + 1, perSecond);
    }

    /**
     * Returns the number of the turn that this host has now, or empty if it has none. It may send one request in each.
     *
     * @param cold time since the endpoint became cold
     */
    public OptionalLong turnAt(Duration cold) {
        long current = (long) Math.floor(cold.toNanos() / NANOS_PER_SECOND * requestsPerSecond);
        return Math.floorMod(current, hostCount) == hostIndex ? OptionalLong.of(current) : OptionalLong.empty();
    }
}
