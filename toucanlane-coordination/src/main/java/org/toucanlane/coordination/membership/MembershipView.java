package org.toucanlane.coordination.membership;

import com.google.common.base.Preconditions;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.toucanlane.coordination.clock.MonotonicClock;

/**
 * The hosts from which this process has received heartbeats.
 *
 * <p>Invariant: only the largest incarnation seen of each host is kept, so that a delayed heartbeat from a replaced
 * process has no effect. A silent host is not assumed to have failed. Thread-safe.
 */
public final class MembershipView {

    /** Number of missed heartbeat intervals after which a host counts as silent. */
    private static final int MAX_MISSED_HEARTBEATS = 4;

    private final MonotonicClock clock;
    private final Duration silentAfter;
    private final Map<String, Member> members = new ConcurrentHashMap<>();

    /**
     * Creates an empty view.
     *
     * @param silentAfter minimum time after its last heartbeat at which a host counts as silent; longer for hosts with
     *     a longer heartbeat interval
     */
    public MembershipView(MonotonicClock clock, Duration silentAfter) {
        Preconditions.checkArgument(!silentAfter.isNegative(), "silentAfter must not be negative: %s", silentAfter);
        this.clock = Preconditions.checkNotNull(clock, "clock");
        this.silentAfter = silentAfter;
    }

    /** Records a heartbeat. Returns false if it came from a replaced process and was ignored. */
    public boolean observe(Member heartbeat) {
        Member current = members.merge(
                heartbeat.host(),
                heartbeat,
                (old, next) -> next.incarnation() < old.incarnation() ? old : mergeHeartbeats(old, next));
        return current.incarnation() == heartbeat.incarnation();
    }

    private static Member mergeHeartbeats(Member old, Member next) {
        if (next.incarnation() > old.incarnation()) {
            return next;
        }
        return new Member(
                next.host(),
                next.dataCentre(),
                next.incarnation(),
                Math.max(old.configurationVersion(), next.configurationVersion()),
                old.leaving() || next.leaving(),
                next.heartbeatIntervalNanos(),
                Math.max(old.receivedAtNanos(), next.receivedAtNanos()));
    }

    /** Returns the state of {@code host}. */
    public MemberState state(String host) {
        Member member = members.get(host);
        if (member == null) {
            return MemberState.UNKNOWN;
        }
        long silenceTimeout = Math.max(silentAfter.toNanos(), MAX_MISSED_HEARTBEATS * member.heartbeatIntervalNanos());
        if (clock.nanos() - member.receivedAtNanos() > silenceTimeout) {
            return MemberState.SILENT;
        }
        return member.leaving() ? MemberState.LEAVING : MemberState.ALIVE;
    }

    /** Returns the latest heartbeat data of {@code host}. */
    public Optional<Member> member(String host) {
        return Optional.ofNullable(members.get(host));
    }

    /** Returns all hosts from which a heartbeat was received, sorted by name. */
    public List<Member> members() {
        return members.values().stream()
                .sorted(Comparator.comparing(Member::host))
                .toList();
    }

    /** Returns the hosts of {@code dataCentre} that accept work, sorted by name. */
    public List<Member> membersAcceptingWork(String dataCentre) {
        return members().stream()
                .filter(member -> member.dataCentre().equals(dataCentre))
                .filter(member -> state(member.host()).acceptsWork())
                .toList();
    }

    /** Returns the latest configuration version that each host is known to have applied. */
    public Map<String, Long> confirmedVersions() {
        return members.values().stream().collect(Collectors.toMap(Member::host, Member::configurationVersion));
    }
}
