package org.toucanlane.coordination.store;

import java.util.Comparator;

/**
 * A revision of the store, qualified by the era in which the store assigned it. Immutable.
 *
 * <p>A store that is restored from an older copy begins a new era and assigns revision numbers again, so numbers of
 * different eras are not comparable. Revisions are ordered by era first.
 *
 * @param era number of restorations of the store, or {@link #UNKNOWN_ERA} if the store does not report it
 * @param number revision number within the era
 */
public record StoreRevision(long era, long number) implements Comparable<StoreRevision> {

    /** The era of a store that does not report one. */
    public static final long UNKNOWN_ERA = -1;

    /** Precedes all revisions. */
    public static final StoreRevision NONE = new StoreRevision(UNKNOWN_ERA, 0);

    private static final Comparator<StoreRevision> ORDER =
            Comparator.comparingLong(StoreRevision::era).thenComparingLong(StoreRevision::number);

    /** Returns the revision with this number in the same era. */
    public StoreRevision withNumber(long next) {
        return new StoreRevision(era, next);
    }

    /** Returns whether this revision is later than {@code other}. */
    public boolean isAfter(StoreRevision other) {
        return compareTo(other) > 0;
    }

    /** Returns whether this revision is later than {@code other} and of the same era. */
    public boolean isLaterInEraOf(StoreRevision other) {
        return era == other.era && number > other.number;
    }

    @Override
    public int compareTo(StoreRevision other) {
        return ORDER.compare(this, other);
    }
}
