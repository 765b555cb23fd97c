package org.toucanlane.coordination.share;

import com.google.common.base.Preconditions;
import java.time.Duration;

/**
 * Durations that lenders and borrowers apply to loans.
 *
 * @param validity how long a loan may be spent
 * @param borrowTimeout maximum total wait of one admission for lenders' replies
 * @param maxLenderBackoff maximum time for which a lender that had too few tokens is not asked again
 * @param driftPerMille bound on the relative drift between the clocks of two hosts, in thousandths
 */
public record LoanTerms(Duration validity, Duration borrowTimeout, Duration maxLenderBackoff, int driftPerMille) {

    private static final int PER_MILLE = 1000;

    /** Creates terms. */
    public LoanTerms {
        Preconditions.checkArgument(!validity.isNegative() && !validity.isZero(), "validity: %s", validity);
        Preconditions.checkArgument(!borrowTimeout.isNegative(), "borrowWait: %s", borrowTimeout);
        Preconditions.checkArgument(!maxLenderBackoff.isNegative(), "longestPause: %s", maxLenderBackoff);
        Preconditions.checkArgument(
                driftPerMille >= 0 && driftPerMille < PER_MILLE / 2, "driftPerMille: %s", driftPerMille);
    }

    /** Returns the default terms. */
    public static LoanTerms defaults() {
        return new LoanTerms(Duration.ofSeconds(2), Duration.ofMillis(300), Duration.ofMillis(500), 1);
    }

    /** Returns how long a lender counts a loan as lent: the validity plus the drift bound. */
    public Duration lenderValidity() {
        return validity.plus(driftOver(validity));
    }

    /** Returns how long a borrower may spend a loan of validity {@code granted}: the validity minus the drift bound. */
    public Duration borrowerValidity(Duration granted) {
        return granted.minus(driftOver(granted));
    }

    private Duration driftOver(Duration time) {
        return time.multipliedBy(driftPerMille).dividedBy(PER_MILLE);
    }
}
