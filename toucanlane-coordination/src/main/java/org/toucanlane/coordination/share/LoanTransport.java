package org.toucanlane.coordination.share;

import java.time.Duration;
import java.util.Optional;

/** Sends loan messages between hosts. Messages may be lost, delayed or duplicated. Implementations are thread-safe. */
public interface LoanTransport {

    /** Requests a loan from {@code lender}. Returns empty if no reply arrives within {@code wait}. */
    Optional<LoanGrant> borrow(String lender, String loanId, String account, long tokens, Duration wait);

    /** Returns the unspent tokens of a loan to {@code lender}. Delivery is best-effort. */
    void returnUnused(String lender, String loanId, String account, long unusedTokens);

    /** Returns whether a heartbeat was received from {@code host} recently and loans can be requested from it. */
    boolean isReachable(String host);

    /** Returns a transport that reaches no other host, for a host that uses only its own shares. */
    static LoanTransport disconnected() {
        return new LoanTransport() {
            @Override
            public Optional<LoanGrant> borrow(
                    String lender, String loanId, String account, long tokens, Duration wait) {
                return Optional.empty();
            }

            @Override
            public void returnUnused(String lender, String loanId, String account, long unusedTokens) {
                // No loan can exist.
            }

            @Override
            public boolean isReachable(String host) {
                return false;
            }
        };
    }
}
