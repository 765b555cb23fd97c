package org.toucanlane.edge.fleet;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.toucanlane.coordination.hash.RendezvousHash;
import org.toucanlane.domain.serving.EndpointRegistration;
import org.toucanlane.edge.http.ChannelPool;
import org.toucanlane.policy.capacity.EndpointSpeed;
import org.toucanlane.policy.capacity.ServiceSpeeds;
import org.toucanlane.policy.capacity.SpeedEstimate;
import org.toucanlane.policy.health.EndpointHealth;
import org.toucanlane.policy.placement.EndpointLoad;
import org.toucanlane.policy.placement.EndpointRateShare;

/**
 * Tracks one process of an endpoint: its connection pool, the load on it, its prefix cache and its health.
 *
 * <p>Invariant: the local counters equal the sums over the reservations that have not ended. A later process with the
 * same endpoint id gets a new handle. Not thread-safe: confined to the host's event loop.
 */
public final class EndpointHandle {

    /** Fraction of the endpoint's memory that is modelled as prefix cache; running requests use the rest. */
    private static final double PREFIX_CACHE_FRACTION = 0.7;

    /** Maximum number of segments that are assumed to be cached; more would be shorter than any that is worth a choice. */
    static final int MAX_CACHED_SEGMENTS = 4_096;

    /** Weight of a new sample in the exponential moving average of failures; roughly the last ten samples dominate. */
    private static final double SMOOTHING_FACTOR = 0.15;

    /**
     * An endpoint with running requests that sends no byte for this long counts as stalled and gets no new requests.
     */
    private static final Duration STALL_TIMEOUT = Duration.ofMillis(1_300);

    /** Time for which an endpoint gets no new requests after it rejected one for lack of capacity. */
    private static final Duration OVERLOAD_BACKOFF = Duration.ofMillis(120);

    /** Consecutive failures that eject an endpoint; shorter runs are common when only some of the requests fail. */
    private static final int EJECTION_THRESHOLD = 4;

    private static final Duration BASE_EJECTION_TIME = Duration.ofMillis(800);
    private static final Duration MAX_EJECTION_TIME = Duration.ofSeconds(6);

    /** Half-life of the failure rate while there are no responses, so that the endpoint is eventually tried again. */
    private static final Duration FAILURE_HALF_LIFE = Duration.ofSeconds(3);

    private final ChannelPool pool;
    private final long idHash;
    private final EndpointHealth health = new EndpointHealth(EJECTION_THRESHOLD, BASE_EJECTION_TIME, MAX_EJECTION_TIME);
    private final EndpointSpeed speed;
    private final RequestLimit requestLimit = new RequestLimit();
    private final Map<String, RemoteUsage> remoteUsageBySource = new LinkedHashMap<>();
    private final LinkedHashMap<String, Long> cachedSegments = new LinkedHashMap<>(64, 0.75f, true);
    private EndpointRegistration entry;
    private long memoryTokens;
    private long cachedTokens;
    private int running;
    private long pendingTokens;
    private long usedTokens;
    private EndpointLoad lastLoad;
    private double failureRate;
    private long failureRateAt = System.nanoTime();
    private long lastProgressAt = System.nanoTime();
    private long coldUntil = System.nanoTime();
    private long coldSince = System.nanoTime();
    private long lastColdSlot = -1;
    private long overloadedUntil = System.nanoTime();
    private long pausedUntil = System.nanoTime();
    private boolean draining;

    EndpointHandle(EndpointRegistration entry, ChannelPool pool, long memoryTokens, ServiceSpeeds speeds) {
        this.entry = entry;
        this.pool = pool;
        this.memoryTokens = memoryTokens;
        this.idHash = RendezvousHash.hash(entry.id());
        this.speed = speeds.add(entry.id(), this::reportedSpeed, System.nanoTime());
        update(entry);
    }

    /** Sets the size of the engine's memory in tokens, or 0 for an endpoint without an engine profile. */
    void setMemoryTokens(long tokens) {
        memoryTokens = tokens;
    }

    /** Applies a newer registry entry of the same process. */
    void update(EndpointRegistration next) {
        entry = next;
        if (!next.remainingColdStart().isZero()) {
            markCold(next.remainingColdStart());
        }
        if (next.state() == EndpointRegistration.State.DRAINING) {
            drain();
        }
    }

    /** Applies the cold-start rate limit for {@code time} from now. */
    void markCold(Duration time) {
        long now = System.nanoTime();
        long until = now + time.toNanos();
        if (!isCold(now)) {
            coldSince = now;
            lastColdSlot = -1;
        }
        if (until - coldUntil > 0) {
            coldUntil = until;
        }
    }

    /** Stops sending new requests to the endpoint; running requests continue. */
    public void drain() {
        draining = true;
        pool.close();
    }

    /** Returns whether the endpoint gets no new requests. */
    public boolean isDraining() {
        return draining;
    }

    /** Returns whether requests may be sent to the endpoint now, not considering its cold-start rate limit. */
    public boolean isUsable(long now) {
        return !draining
                && !health.isEjected(now)
                && !isStalled(now)
                && overloadedUntil - now <= 0
                && pausedUntil - now <= 0;
    }

    private boolean isStalled(long now) {
        return running > 0 && now - lastProgressAt > STALL_TIMEOUT.toNanos();
    }

    /** Returns whether the cold-start rate limit applies now. */
    public boolean isCold(long now) {
        return coldUntil - now > 0;
    }

    /** Returns whether this host's share of the cold-start rate allows a request now. */
    public boolean hasColdCapacity(EndpointRateShare rate, long now) {
        OptionalLong slot = rate.turnAt(Duration.ofNanos(now - coldSince));
        return slot.isPresent() && slot.getAsLong() > lastColdSlot;
    }

    /** Records a request that was sent during the cold start. */
    public void recordColdRequest(EndpointRateShare rate, long now) {
        rate.turnAt(Duration.ofNanos(now - coldSince)).ifPresent(slot -> lastColdSlot = slot);
    }

    /** Returns the length in tokens of the longest prefix of {@code segments} that is assumed to be cached. */
    public long cachedTokensOf(List<PromptSegment> segments) {
        long tokens = 0;
        for (PromptSegment segment : segments) {
            if (segment.tokens() > 0 && !cachedSegments.containsKey(segment.id())) {
                return tokens;
            }
            tokens += segment.tokens();
        }
        return tokens;
    }

    /** Records that the endpoint caches {@code segments}, or will once it has processed them. */
    public void recordCached(List<PromptSegment> segments) {
        for (PromptSegment segment : segments) {
            if (segment.tokens() > 0 && cachedSegments.put(segment.id(), segment.tokens()) == null) {
                cachedTokens += segment.tokens();
            }
        }
        Iterator<Map.Entry<String, Long>> eldest = cachedSegments.entrySet().iterator();
        while ((cachedTokens > memoryTokens * PREFIX_CACHE_FRACTION || cachedSegments.size() > MAX_CACHED_SEGMENTS)
                && eldest.hasNext()) {
            cachedTokens -= eldest.next().getValue();
            eldest.remove();
        }
    }

    void requestStarted(long prefillTokens, long residentTokens, long now) {
        if (running == 0) {
            lastProgressAt = now;
        }
        running++;
        pendingTokens += prefillTokens;
        usedTokens += residentTokens;
    }

    /** Returns what is known before a request is sent that has to prefill {@code newTokens}. */
    EndpointSpeed.Expectation expectation(long newTokens, double estimatedMillis) {
        EndpointLoad load = lastLoad == null ? load(System.nanoTime()) : lastLoad;
        return new EndpointSpeed.Expectation(
                estimatedMillis,
                load.slowdownFactor(),
                load.meanServiceMillis(),
                load.isEngine(),
                load.pendingPromptTokens(),
                newTokens,
                load.running());
    }

    void firstResponseReceived(
            long prefillTokens, EndpointSpeed.Expectation expectation, double observedMillis, long now) {
        pendingTokens -= prefillTokens;
        speed.recordFirstResponse(expectation, observedMillis, now);
    }

    private SpeedEstimate reportedSpeed() {
        SpeedEstimate sum = SpeedEstimate.NONE;
        for (RemoteUsage remote : remoteUsageBySource.values()) {
            sum = sum.plus(remote.usage().speed());
        }
        return sum;
    }

    /** Returns what is known of the endpoint's speed. */
    public EndpointSpeed speed() {
        return speed;
    }

    private static double decay(long nanos, Duration halfLife) {
        return Math.pow(0.5, (double) nanos / halfLife.toNanos());
    }

    void requestEnded(long residentTokens, double observedMillis, boolean complete) {
        running--;
        usedTokens -= residentTokens;
        if (complete) {
            speed.recordServiceTime(observedMillis, System.nanoTime());
        }
    }

    void discardPendingTokens(long prefillTokens) {
        pendingTokens -= prefillTokens;
    }

    /** Records that data has arrived from the endpoint. */
    public void recordProgress(long now) {
        lastProgressAt = now;
    }

    /** Records that the endpoint rejected a request for lack of capacity. */
    void recordRejection(long now) {
        overloadedUntil = now + OVERLOAD_BACKOFF.toNanos();
    }

    /** Sends no requests to the endpoint for {@code time} from {@code now}, as it has asked. */
    public void pause(Duration time, long now) {
        long until = now + time.toNanos();
        if (until - pausedUntil > 0) {
            pausedUntil = until;
        }
    }

    /** Returns the rest of the time for which the endpoint has asked for no requests, or zero. */
    public Duration remainingPause(long now) {
        return Duration.ofNanos(Math.max(0, pausedUntil - now));
    }

    /** Returns the limit on the rate of requests that the endpoint has named. */
    public RequestLimit requestLimit() {
        return requestLimit;
    }

    void recordSuccess(long now) {
        health.recordSuccess();
        setFailureRate(failureRate(now) * (1 - SMOOTHING_FACTOR), now);
    }

    void recordFailure(long now) {
        health.recordFailure(now);
        setFailureRate(failureRate(now) + SMOOTHING_FACTOR * (1 - failureRate(now)), now);
    }

    private void setFailureRate(double rate, long now) {
        failureRate = rate;
        failureRateAt = now;
    }

    private double failureRate(long now) {
        return failureRate * decay(now - failureRateAt, FAILURE_HALF_LIFE);
    }

    /** Replaces the usage that was reported by {@code source}, which is a host or the aggregate of a region. */
    public void updateRemoteUsage(String source, EndpointUsage usage, long now) {
        remoteUsageBySource.put(source, new RemoteUsage(usage, now));
    }

    /** Removes the usage reported by {@code source}. */
    public void removeRemoteUsage(String source) {
        remoteUsageBySource.remove(source);
    }

    /** Removes the usage reported by all sources. */
    public void clearRemoteUsage() {
        remoteUsageBySource.clear();
    }

    /** Removes the usage that was reported before {@code time}. */
    public void removeRemoteUsageBefore(long time) {
        remoteUsageBySource.values().removeIf(remote -> remote.reportedAt() - time < 0);
    }

    /** Returns the usage reported by {@code source}, or empty if there is none. */
    public Optional<EndpointUsage> remoteUsage(String source) {
        return Optional.ofNullable(remoteUsageBySource.get(source)).map(RemoteUsage::usage);
    }

    /** Returns the load for endpoint selection, including the usage reported by other hosts. Allocates nothing else. */
    public EndpointLoad load(long now) {
        int totalRunning = running;
        long totalPending = pendingTokens;
        long totalUsed = usedTokens;
        double slownessSum = speed.deviation(now);
        int hosts = 1;
        for (RemoteUsage remote : remoteUsageBySource.values()) {
            EndpointUsage usage = remote.usage();
            totalRunning += usage.running();
            totalPending += usage.pendingTokens();
            totalUsed += usage.usedTokens();
            slownessSum += usage.slowness() * usage.hosts();
            hosts += usage.hosts();
        }
        double slowdown = speed.slowdown(slownessSum / hosts, totalRunning, now);
        lastLoad = new EndpointLoad(
                entry.id(),
                idHash,
                speed.usefulSlots(entry.slots()),
                totalRunning,
                totalPending,
                totalUsed,
                memoryTokens,
                slowdown,
                failureRate(now),
                speed.meanServiceMillis(now),
                speed.profile());
        return lastLoad;
    }

    /**
     * Returns the usage by this host, and its view of the endpoint's health. An endpoint with a limit is reported as
     * unusable, since its low load would attract requests of other regions.
     */
    public EndpointUsage localUsage(long now) {
        boolean usable = isUsable(now) && requestLimit.named().isEmpty();
        return new EndpointUsage(
                running, pendingTokens, usedTokens, usable, speed.deviation(now), 1, speed.measured(now));
    }

    /** Returns the sum of the usage by this host and of the reported usage. */
    public EndpointUsage totalUsage(long now) {
        EndpointUsage total = localUsage(now);
        for (RemoteUsage remote : remoteUsageBySource.values()) {
            total = total.plus(remote.usage());
        }
        return total;
    }

    /** Returns whether this host and every source that has reported on the endpoint consider it usable. */
    public boolean isUsableElsewhere(long now) {
        return isUsable(now)
                && remoteUsageBySource.values().stream().map(RemoteUsage::usage).allMatch(EndpointUsage::usable);
    }

    /** Returns the 32-bit hash that identifies the endpoint in load reports. */
    public int tag() {
        return (int) idHash;
    }

    /** Returns the hash of the endpoint id, by {@code RendezvousHash.hash}. */
    public long idHash() {
        return idHash;
    }

    /** Returns the newest registry entry. */
    public EndpointRegistration entry() {
        return entry;
    }

    /** Returns the endpoint id. */
    public String id() {
        return entry.id();
    }

    /** Returns the connection pool. */
    public ChannelPool pool() {
        return pool;
    }

    private record RemoteUsage(EndpointUsage usage, long reportedAt) {}
}
