package org.toucanlane.edge.limit;

/**
 * What one host has used and holds of an account's limit.
 *
 * @param demand what callers have asked of the host lately, in a second
 * @param level what its bucket holds; negative if it is in debt
 */
public record AccountUsage(double demand, double level) {

    /** Nothing used and nothing held. */
    public static final AccountUsage NONE = new AccountUsage(0, 0);

    /** Returns the sum of both. */
    public AccountUsage plus(AccountUsage other) {
        return new AccountUsage(demand + other.demand, level + other.level);
    }

    /** Returns what is left without {@code part}, which was counted in this. */
    public AccountUsage minus(AccountUsage part) {
        return new AccountUsage(Math.max(0, demand - part.demand), level - part.level);
    }
}
