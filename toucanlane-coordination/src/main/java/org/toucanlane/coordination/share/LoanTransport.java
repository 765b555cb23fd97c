package org.toucanlane.coordination.share;

import java.time.Duration;
import java.util.Optional;

/** Carries loans between hosts. Messages may be lost, delayed or repeated. Implementations are thread-safe. */
public interface LoanTransport {

    /** Asks {@code lender} for a loan; empty if no answer came within {@code wait}. */
    Optional<LoanGrant> borrow(String lender, String loanId, String account, long tokens, Duration wait);

    /** Tells {@code lender} that {@code unusedTokens} of a loan were not spent. Best effort. */
    void giveBack(String lender, String loanId, String account, long unusedTokens);

    /** Returns whether {@code host} was heard of lately. */
    boolean isReachable(String host);
}
