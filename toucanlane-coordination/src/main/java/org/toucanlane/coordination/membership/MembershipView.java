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
 * The hosts that this process has heard of.
 *
 * <p>Invariant: for each host only the largest incarnation seen counts, so a late heartbeat of a replaced process
 * changes nothing. Silence is never taken as proof of death. Thread-safe.
 */
public final class MembershipView {

    /** Heartbeats that may fail to come before a host counts as silent. */
    private static final int MAX_MISSED_HEARTBEATS = 4;

    private final MonotonicClock clock;
    private final Duration silentAfter;
    private final Map<String, Member> members = new ConcurrentHashMap<>();

    /**
     * Creates an empty view.
     *
     * @param silentAfter how long after its last heartbeat a host counts as silent, unless its heartbeats are further
     *     apart
     */
    public MembershipView(MonotonicClock clock, Duration silentAfter) {
        Preconditions.checkArgument(!silentAfter.isNegative(), "silentAfter must not be negative: %s", silentAfter);
        this.clock = Preconditions.checkNotNull(clock, "clock");
        this.silentAfter = silentAfter;
    }

    /** Takes in a heartbeat; returns false if it came from a replaced process and was dropped. */
    public boolean observe(Member heard) {
        Member kept = members.merge(
                heard.host(),
                heard,
                (old, next) -> next.incarnation() < old.incarnation() ? old : mergeHeartbeats(old, next));
        return kept.incarnation() == heard.incarnation();
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
        long patience = Math.max(silentAfter.toNanos(), MAX_MISSED_HEARTBEATS * member.heartbeatIntervalNanos());
        if (clock.nanos() - member.receivedAtNanos() > patience) {
            return MemberState.SILENT;
        }
        return member.leaving() ? MemberState.LEAVING : MemberState.ALIVE;
    }

    /** Returns what {@code host} said last. */
    public Optional<Member> member(String host) {
        return Optional.ofNullable(members.get(host));
    }

    /** Returns all hosts ever heard of, by name. */
    public List<Member> members() {
        return members.values().stream()
                .sorted(Comparator.comparing(Member::host))
                .toList();
    }

    /** Returns the hosts of {@code dataCentre} that take work, by name. */
    public List<Member> membersAcceptingWork(String dataCentre) {
        return members().stream()
                .filter(member -> member.dataCentre().equals(dataCentre))
                .filter(member -> state(member.host()).acceptsWork())
                .toList();
    }

    /** Returns the newest configuration version that each host is known to have in force. */
    public Map<String, Long> confirmedVersions() {
        return members.values().stream().collect(Collectors.toMap(Member::host, Member::configurationVersion));
    }
}
