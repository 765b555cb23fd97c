package org.toucanlane.coordination.share;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Who holds which share of each account under one version of the configuration, and who held it before.
 *
 * <p>While a share moves, both the earlier and the later division are known. A host uses the smaller of its two parts
 * until every other earlier holder has confirmed the later version or is no longer a member; see
 * {@link #limitOf(String, String, Map)}. Immutable.
 */
public final class ShareTable {

    private static final ShareTable EMPTY = new ShareTable(0, ImmutableMap.of(), ImmutableMap.of(), ImmutableSet.of());

    private final long version;
    private final ImmutableMap<String, List<HostShare>> shares;
    private final ImmutableMap<String, List<HostShare>> previousShares;
    private final ImmutableSet<String> members;
    private final ImmutableSet<String> moving;

    private ShareTable(
            long version,
            ImmutableMap<String, List<HostShare>> shares,
            ImmutableMap<String, List<HostShare>> earlier,
            ImmutableSet<String> members) {
        this.version = version;
        this.shares = shares;
        this.previousShares = earlier;
        this.members = members;
        this.moving = earlier.entrySet().stream()
                .filter(entry -> ShareSplit.isMove(entry.getValue(), shares.getOrDefault(entry.getKey(), List.of())))
                .map(Map.Entry::getKey)
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns a table without accounts. */
    public static ShareTable empty() {
        return EMPTY;
    }

    /**
     * Returns a table.
     *
     * @param version version of the configuration that it comes from
     * @param shares holders by account
     * @param earlier holders by account under the version before the last one that moved shares; empty if none did
     * @param members hosts that the configuration names; any other has been stopped for good by the operators
     */
    public static ShareTable of(
            long version,
            Map<String, List<HostShare>> shares,
            Map<String, List<HostShare>> earlier,
            Set<String> members) {
        return new ShareTable(
                version, ImmutableMap.copyOf(shares), ImmutableMap.copyOf(earlier), ImmutableSet.copyOf(members));
    }

    /** Returns the version of the configuration that the table comes from. */
    public long version() {
        return version;
    }

    /** Returns the names of the accounts that have a limit. */
    public Set<String> accounts() {
        return shares.keySet();
    }

    /** Returns the holders of {@code account}, largest share first; none for an account without a limit. */
    public List<HostShare> holders(String account) {
        return shares.getOrDefault(account, List.of());
    }

    /** Returns the accounts of which some host got less, and some other one more, in the last move. */
    Set<String> moving() {
        return moving;
    }

    /** Returns whether {@code account} is one of {@link #moving()}. */
    boolean isMoving(String account) {
        return moving.contains(account);
    }

    /** Returns the division before and after the last move of {@code account}, or empty if it does not move. */
    Optional<ShareMove> move(String account) {
        return isMoving(account)
                ? Optional.of(new ShareMove(previousShares.get(account), holders(account)))
                : Optional.empty();
    }

    /** Returns the hosts whose confirmation {@code host} needs before it may use shares that move to it. */
    public Set<String> requiredConfirmations(String host) {
        return moving.stream()
                .filter(account -> !ShareSplit.heldBy(host, holders(account)).equals(ShareLimit.NONE))
                .flatMap(account -> previousShares.get(account).stream().map(HostShare::host))
                .filter(holder -> !holder.equals(host) && members.contains(holder))
                .collect(ImmutableSet.toImmutableSet());
    }

    /**
     * Returns what {@code host} may use of {@code account} now.
     *
     * @param confirmed the newest version that each other host is known to have in force
     */
    public ShareLimit limitOf(String account, String host, Map<String, Long> confirmed) {
        ShareLimit next = ShareSplit.heldBy(host, holders(account));
        List<HostShare> before = previousShares.getOrDefault(account, List.of());
        if (!isMoving(account)) {
            return next;
        }
        ShareLimit previous = ShareSplit.heldBy(host, before);
        if (next.isWithin(previous)) {
            return next;
        }
        boolean moved = before.stream()
                .map(HostShare::host)
                .filter(holder -> !holder.equals(host) && members.contains(holder))
                .allMatch(holder -> confirmed.getOrDefault(holder, 0L) >= version);
        return moved ? next : next.min(previous);
    }
}
