package org.toucanlane.coordination.share;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The holders of each account's shares under one configuration version, and the previous holders.
 *
 * <p>While a share moves, both the previous and the new division are known. A host uses the smaller of its two shares
 * until every other previous holder has confirmed the new version or is no longer a member; see
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
            ImmutableMap<String, List<HostShare>> previousShares,
            ImmutableSet<String> members) {
        this.version = version;
        this.shares = shares;
        this.previousShares = previousShares;
        this.members = members;
        this.moving = previousShares.entrySet().stream()
                .filter(entry -> ShareSplit.isMove(entry.getValue(), shares.getOrDefault(entry.getKey(), List.of())))
                .map(Map.Entry::getKey)
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns an empty table. */
    public static ShareTable empty() {
        return EMPTY;
    }

    /**
     * Returns a table.
     *
     * @param version configuration version of the table
     * @param shares holders by account
     * @param previousShares holders by account before the last configuration version that moved shares; empty if none
     *     did
     * @param members hosts listed in the configuration; operators have permanently stopped any other host
     */
    public static ShareTable of(
            long version,
            Map<String, List<HostShare>> shares,
            Map<String, List<HostShare>> previousShares,
            Set<String> members) {
        return new ShareTable(
                version,
                ImmutableMap.copyOf(shares),
                ImmutableMap.copyOf(previousShares),
                ImmutableSet.copyOf(members));
    }

    /** Returns the configuration version of the table. */
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

    /** Returns the accounts for which some host gains and another loses between the previous and the new division. */
    Set<String> moving() {
        return moving;
    }

    /** Returns whether {@code account} is one of {@link #moving()}. */
    boolean isMoving(String account) {
        return moving.contains(account);
    }

    /** Returns the division before and after the last move of {@code account}, or empty if it is not moving. */
    Optional<ShareMove> move(String account) {
        return isMoving(account)
                ? Optional.of(new ShareMove(previousShares.get(account), holders(account)))
                : Optional.empty();
    }

    /** Returns the hosts that must confirm this version before {@code host} may use the shares that move to it. */
    public Set<String> requiredConfirmations(String host) {
        return moving.stream()
                .filter(account -> !ShareSplit.heldBy(host, holders(account)).equals(ShareLimit.NONE))
                .flatMap(account -> previousShares.get(account).stream().map(HostShare::host))
                .filter(holder -> !holder.equals(host) && members.contains(holder))
                .collect(ImmutableSet.toImmutableSet());
    }

    /**
     * Returns the limit that {@code host} may currently use for {@code account}.
     *
     * @param confirmed latest configuration version that each other host is known to have applied
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
