package org.toucanlane.edge.state;

import java.time.Duration;
import org.toucanlane.coordination.store.StoreRevision;

/**
 * Decides from when on a copy of the store counts as current after the store was restored from an older copy.
 *
 * <p>Load pattern: the store loses its last seconds, among them a revoked key, while hosts run and others start. A copy
 * that is read before the operator and the endpoints have repeated their lost writes is complete but old. Reads are
 * therefore proof of currency only if they were sent after a settling time, which starts when the era is first observed.
 * A host that starts can't tell whether the era has just begun, and so observes the settling time too, unless an
 * {@link EraRecord} shows that the era is older.
 *
 * <p>Invariant: the era never decreases. Not thread-safe: confined to one thread.
 */
final class EraTracker {

    /** Time in which lost writes are repeated, as documented by the platform. */
    static final Duration SETTLING_TIME = Duration.ofSeconds(2);

    /** Difference between the wall clocks of two hosts, or a jump of one, that a comparison must tolerate. */
    private static final Duration CLOCK_TOLERANCE = Duration.ofSeconds(3);

    private long era = StoreRevision.UNKNOWN_ERA;
    private boolean firstEra;
    private long settledAt;

    /** Returns the newest known era, or {@link StoreRevision#UNKNOWN_ERA}. */
    long era() {
        return era;
    }

    /**
     * Applies an era that was reported at monotonic time {@code now}.
     *
     * @return whether it is newer than the known one
     */
    boolean advance(long reported, long now) {
        if (reported <= era) {
            return false;
        }
        firstEra = era == StoreRevision.UNKNOWN_ERA;
        era = reported;
        settledAt = now + SETTLING_TIME.toNanos();
        return true;
    }

    /**
     * Applies the record found in the store.
     *
     * @param wallMillis present time in Unix milliseconds
     * @param now present monotonic time
     */
    void applyRecord(EraRecord record, long wallMillis, long now) {
        Duration age = Duration.ofMillis(wallMillis - record.writtenAtMillis());
        if (firstEra && record.era() == era && age.compareTo(SETTLING_TIME.plus(CLOCK_TOLERANCE)) >= 0) {
            settledAt = now;
            firstEra = false;
        }
    }

    /** Returns whether a read that was sent at monotonic time {@code sentAt} proves that the copy is current. */
    boolean isProof(long sentAt) {
        return era == StoreRevision.UNKNOWN_ERA || sentAt - settledAt >= 0;
    }

    /** Returns the time from monotonic time {@code now} until reads are proof again, or zero. */
    Duration timeToSettle(long now) {
        return isProof(now) ? Duration.ZERO : Duration.ofNanos(settledAt - now);
    }
}
