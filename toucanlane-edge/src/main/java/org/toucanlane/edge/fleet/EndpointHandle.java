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
import org.toucanlane.policy.health.EndpointHealth;
import org.toucanlane.policy.placement.ColdStartRateLimit;
import org.toucanlane.policy.placement.EndpointLoad;

/**
 * One process of an endpoint: its connections, what this host has running on it, and how it has answered.
 *
 * <p>Invariant: counts are those of the reservations that have not ended. A later process under the same id gets a new
 * handle. Used on the host's event loop only.
 */
public final class EndpointHandle {

    /** Part of the memory for which kept prefixes are remembered; the rest is for running requests. */
    private static final double CACHED_PART = 0.7;

    /** Weight of the newest answer in the moving averages: about the last ten answers count. */
    private static final double NEWEST_WEIGHT = 0.15;

    /** Bounds on the measured slowness, so that one odd answer does not decide. */
    private static final double MIN_SLOWNESS = 0.4;

    private static final double MAX_SLOWNESS = 6;

    /** Time in which the slowness falls half the way to 1 without an answer, since a host's own start looks like it. */
    private static final Duration SLOWNESS_HALF_LIFE = Duration.ofSeconds(2);

    /** Mean time of a request before one has been measured. */
    private static final double FIRST_ENGINE_MILLIS = 800;

    private static final double FIRST_PLAIN_MILLIS = 40;

    /** Time without any byte from an endpoint that has requests after which it gets no more. */
    private static final Duration SILENCE = Duration.ofMillis(1_300);

    /** Time for which an endpoint that refused a request for lack of room gets no other. */
    private static final Duration FULL_TIME = Duration.ofMillis(120);

    /** Failures in a row that eject an endpoint; fewer are common when a part of the requests fails. */
    private static final int FAILURES_TO_EJECT = 4;

    private static final Duration FIRST_EJECTION = Duration.ofMillis(800);
    private static final Duration LONGEST_EJECTION = Duration.ofSeconds(6);

    /** Time in which the failure rate falls to a half while there are no answers, so that an endpoint is tried again. */
    private static final Duration FAILURE_HALF_LIFE = Duration.ofSeconds(3);

    private final ChannelPool pool;
    private final long idHash;
    private final EndpointHealth health = new EndpointHealth(FAILURES_TO_EJECT, FIRST_EJECTION, LONGEST_EJECTION);
    private final Map<String, Told> told = new LinkedHashMap<>();
    private final LinkedHashMap<String, Long> cachedParts = new LinkedHashMap<>(64, 0.75f, true);
    private EndpointRegistration entry;
    private long memoryTokens;
    private long cachedTokens;
    private int running;
    private long pendingTokens;
    private long usedTokens;
    private double slowness = 1;
    private long slownessAt = System.nanoTime();
    private double failureRate;
    private long failureRateAt = System.nanoTime();
    private double serviceMillis;
    private long lastProgress = System.nanoTime();
    private long coldUntil = System.nanoTime();
    private long coldSince = System.nanoTime();
    private long lastColdTurn = -1;
    private long fullUntil = System.nanoTime();
    private boolean leaving;

    EndpointHandle(EndpointRegistration entry, ChannelPool pool, long memoryTokens) {
        this.entry = entry;
        this.pool = pool;
        this.memoryTokens = memoryTokens;
        this.idHash = RendezvousHash.hash(entry.id());
        this.serviceMillis = memoryTokens > 0 ? FIRST_ENGINE_MILLIS : FIRST_PLAIN_MILLIS;
        update(entry);
    }

    /** Takes another size of its memory; 0 for a plain service. */
    void resize(long tokens) {
        memoryTokens = tokens;
    }

    /** Takes a later entry of the same process. */
    void update(EndpointRegistration next) {
        entry = next;
        if (!next.remainingColdStart().isZero()) {
            makeCold(next.remainingColdStart());
        }
        if (next.state() == EndpointRegistration.State.DRAINING) {
            leave();
        }
    }

    /** Bounds its rate for {@code time} from now. */
    void makeCold(Duration time) {
        long now = System.nanoTime();
        long until = now + time.toNanos();
        if (!isCold(now)) {
            coldSince = now;
            lastColdTurn = -1;
        }
        if (until - coldUntil > 0) {
            coldUntil = until;
        }
    }

    /** Sends it nothing more; what runs goes on. */
    public void leave() {
        leaving = true;
        pool.close();
    }

    /** Returns whether it gets nothing more. */
    public boolean isLeaving() {
        return leaving;
    }

    /** Returns whether requests may be sent to it now, apart from a bound on its rate while it is cold. */
    public boolean isUsable(long now) {
        return !leaving && !health.isEjected(now) && !isSilent(now) && fullUntil - now <= 0;
    }

    private boolean isSilent(long now) {
        return running > 0 && now - lastProgress > SILENCE.toNanos();
    }

    /** Returns whether its rate is bounded now. */
    public boolean isCold(long now) {
        return coldUntil - now > 0;
    }

    /** Returns whether this host's part of the rate that it bears while it is cold allows a request now. */
    public boolean hasColdRoom(ColdStartRateLimit rate, long now) {
        OptionalLong turn = rate.turnAt(Duration.ofNanos(now - coldSince));
        return turn.isPresent() && turn.getAsLong() > lastColdTurn;
    }

    /** Notes a request to it while it is cold. */
    public void coldSend(ColdStartRateLimit rate, long now) {
        rate.turnAt(Duration.ofNanos(now - coldSince)).ifPresent(turn -> lastColdTurn = turn);
    }

    /** Returns the tokens of {@code parts}, from the first on without a gap, that it is believed to keep. */
    public long cachedTokensOf(List<CachedPart> parts) {
        long tokens = 0;
        for (CachedPart part : parts) {
            if (!cachedParts.containsKey(part.id())) {
                return tokens;
            }
            tokens += part.tokens();
        }
        return tokens;
    }

    /** Notes that it has read {@code parts}, or is about to. */
    public void cache(List<CachedPart> parts) {
        for (CachedPart part : parts) {
            if (cachedParts.put(part.id(), part.tokens()) == null) {
                cachedTokens += part.tokens();
            }
        }
        Iterator<Map.Entry<String, Long>> eldest = cachedParts.entrySet().iterator();
        while (cachedTokens > memoryTokens * CACHED_PART && eldest.hasNext()) {
            cachedTokens -= eldest.next().getValue();
            eldest.remove();
        }
    }

    void began(long newTokens, long neededTokens, long now) {
        if (running == 0) {
            lastProgress = now;
        }
        running++;
        pendingTokens += newTokens;
        usedTokens += neededTokens;
    }

    void hadFirstAnswer(long newTokens, double observedMillis, double estimatedMillis, long now) {
        pendingTokens -= newTokens;
        double current = slowness(now);
        double ratio = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, observedMillis * current / estimatedMillis));
        slowness = current + NEWEST_WEIGHT * (ratio - current);
        slownessAt = now;
    }

    private double slowness(long now) {
        return 1 + (slowness - 1) * decay(now - slownessAt, SLOWNESS_HALF_LIFE);
    }

    private static double decay(long nanos, Duration halfLife) {
        return Math.pow(0.5, (double) nanos / halfLife.toNanos());
    }

    void ended(long neededTokens, double observedMillis, boolean complete) {
        running--;
        usedTokens -= neededTokens;
        if (complete) {
            serviceMillis += NEWEST_WEIGHT * (observedMillis - serviceMillis);
        }
    }

    void dropPending(long newTokens) {
        pendingTokens -= newTokens;
    }

    /** Notes that something has come from it. */
    public void progressed(long now) {
        lastProgress = now;
    }

    /** Notes that it has refused a request for lack of room. */
    void refused(long now) {
        fullUntil = now + FULL_TIME.toNanos();
    }

    void succeeded(long now) {
        health.recordSuccess();
        setFailureRate(failureRate(now) * (1 - NEWEST_WEIGHT), now);
    }

    void failed(long now) {
        health.recordFailure(now);
        setFailureRate(failureRate(now) + NEWEST_WEIGHT * (1 - failureRate(now)), now);
    }

    private void setFailureRate(double rate, long now) {
        failureRate = rate;
        failureRateAt = now;
    }

    private double failureRate(long now) {
        return failureRate * decay(now - failureRateAt, FAILURE_HALF_LIFE);
    }

    /** Takes what {@code source}, a host or all hosts of a region, has running here. */
    public void report(String source, RemoteLoad load, long now) {
        told.put(source, new Told(load, now));
    }

    /** Drops what {@code source} has told. */
    public void dropReport(String source) {
        told.remove(source);
    }

    /** Drops all that others have told. */
    public void dropReports() {
        told.clear();
    }

    /** Drops what was told before {@code time}. */
    public void dropReportsBefore(long time) {
        told.values().removeIf(load -> load.at() - time < 0);
    }

    /** Returns what {@code source} has told and what was not dropped since. */
    public Optional<RemoteLoad> toldBy(String source) {
        return Optional.ofNullable(told.get(source)).map(Told::load);
    }

    /** Returns its load with the reports of other hosts. */
    public EndpointLoad load(long now) {
        RemoteLoad all = loadOfAll(now);
        return new EndpointLoad(
                entry.id(),
                idHash,
                entry.slots(),
                all.running(),
                all.pendingTokens(),
                all.usedTokens(),
                memoryTokens,
                all.slowness(),
                failureRate(now),
                serviceMillis);
    }

    /** Returns what this host has running on it, and thinks of it. */
    public RemoteLoad ownLoad(long now) {
        return new RemoteLoad(running, pendingTokens, usedTokens, isUsable(now), slowness(now), 1);
    }

    /** Returns what this host and all that have told of it have running on it. */
    public RemoteLoad loadOfAll(long now) {
        RemoteLoad all = ownLoad(now);
        for (Told load : told.values()) {
            all = all.plus(load.load());
        }
        return all;
    }

    /** Returns whether the hosts that can reach it would send requests there now, as far as they have told. */
    public boolean isUsableElsewhere(long now) {
        return isUsable(now) && told.values().stream().map(Told::load).allMatch(RemoteLoad::usable);
    }

    /** Returns the number that stands for it in reports between hosts. */
    public int tag() {
        return (int) idHash;
    }

    /** Returns its newest entry. */
    public EndpointRegistration entry() {
        return entry;
    }

    /** Returns its name. */
    public String id() {
        return entry.id();
    }

    /** Returns its connections. */
    public ChannelPool pool() {
        return pool;
    }

    private record Told(RemoteLoad load, long at) {}
}
