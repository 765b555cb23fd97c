package org.toucanlane.coordination.share;

import java.time.Duration;
import java.util.Optional;

/** Carries loans between hosts. Messages may be lost, delayed or repeated. Implementations are thread-safe. */
public interface LoanTransport {

    /** Asks {@code lender} for a loan; empty if no answer came within {@code wait}. */
    Optional<LoanGrant> borrow(String lender, String loanId, String account, long tokens, Duration wait);

    /** Tells {@code lender} that {@code unusedTokens} of a loan were not spent. Best effort. */
    void returnUnused(String lender, String loanId, String account, long unusedTokens);

    /** Returns whether {@code host} was heard of lately. */
    boolean isReachable(String host);

    /** Returns a transport that reaches nobody, for a host that uses only the shares that it holds. */
    static LoanTransport disconnected() {
        return new LoanTransport() {
            @Override
            public Optional<LoanGrant> borrow(
                    String lender, String loanId, String account, long tokens, Duration wait) {
                return Optional.empty();
            }

            @Override
            public void returnUnused(String lender, String loanId, String account, long unusedTokens) {
                // Nothing was borrowed.
            }

            @Override
            public boolean isReachable(String host) {
                return false;
            }
        };
    }
}
