package org.toucanlane.edge.limit;

/**
 * The demand and the token bucket level of an account on one or more hosts.
 *
 * @param demand recent demand per second
 * @param level token bucket level; negative if in debt
 */
public record AccountUsage(double demand, double level) {

    /** No demand and an empty bucket. */
    public static final AccountUsage NONE = new AccountUsage(0, 0);

    /** Returns the sum of both usages. */
    public AccountUsage plus(AccountUsage other) {
        return new AccountUsage(demand + other.demand, level + other.level);
    }

    /** Subtracts {@code part}, which is included in this usage. */
    public AccountUsage minus(AccountUsage part) {
        return new AccountUsage(Math.max(0, demand - part.demand), level - part.level);
    }
}
