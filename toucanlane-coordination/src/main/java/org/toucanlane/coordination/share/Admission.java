package org.toucanlane.coordination.share;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * An attempt to collect tokens, first from this host's share and then from one lender after another.
 *
 * <p>Performs no I/O, so that the same steps run over a network and in exhaustive tests. Not thread-safe.
 */
final class Admission {

    private final ShareLedger ledger;
    private final String account;
    private final String id;
    private final long tokens;
    private final List<HostShare> lenders;
    private final List<Charge.Part> parts = new ArrayList<>();
    private long shortfall;
    private int lendersAsked;
    private boolean lenderTimedOut;

    Admission(ShareLedger ledger, String account, String id, long tokens) {
        this.ledger = ledger;
        this.account = account;
        this.id = id;
        this.tokens = tokens;
        this.shortfall = tokens;
        ledger.takeLocal(account, id, tokens).ifPresent(this::addPart);
        this.lenders = shortfall > 0 ? ledger.lenders(account) : List.of();
    }

    private void addPart(Charge.Part part) {
        parts.add(part);
        shortfall -= part.tokens();
    }

    /** Returns the next loan request, or empty if no tokens are missing or no lenders remain. */
    Optional<BorrowRequest> nextRequest(long nowNanos) {
        if (shortfall == 0 || lendersAsked == lenders.size()) {
            return Optional.empty();
        }
        return Optional.of(new BorrowRequest(lenders.get(lendersAsked++), account, id, shortfall, nowNanos));
    }

    /** Handles the reply to {@code request}; {@code grant} is empty if the lender did not reply in time. */
    void onReply(BorrowRequest request, Optional<LoanGrant> grant, long nowNanos) {
        if (grant.isEmpty()) {
            lenderTimedOut = true;
            ledger.returnUnused(request, request.tokens());
            return;
        }
        long lent = Math.min(request.tokens(), grant.get().tokens());
        if (lent < request.tokens()) {
            ledger.backOffLender(account, request, request.tokens() - lent);
        }
        if (lent <= 0) {
            return;
        }
        if (nowNanos - ledger.loanExpiry(request, grant.get()) >= 0) {
            ledger.returnUnused(request, lent);
            return;
        }
        addPart(new Charge.Part(lent, unused -> ledger.returnUnused(request, unused)));
    }

    /**
     * Completes the attempt and returns the charge.
     *
     * @throws InsufficientTokensException if too few tokens were collected; the collected ones are refunded
     */
    Charge finish() throws InsufficientTokensException {
        Charge charge = Charge.of(parts);
        if (shortfall == 0) {
            return charge;
        }
        charge.settle(0);
        Duration retryAfter = ledger.accrualTime(account, shortfall);
        throw new InsufficientTokensException(
                "account " + account + " is short of " + shortfall + " of " + tokens + " tokens",
                retryAfter,
                lenderTimedOut || ledger.hasUnreachableHolder(account));
    }

    /**
     * A request to a lender for a loan.
     *
     * @param sentAtNanos time at which it was sent, by the borrower's clock
     */
    record BorrowRequest(HostShare lender, String account, String id, long tokens, long sentAtNanos) {}
}
