package org.toucanlane.coordination.share;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * One attempt to gather tokens: from this host's share first, then from one lender after another.
 *
 * <p>Sends nothing itself, so that the same steps run over a network and under exhaustive exploration. Not thread-safe.
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

    /** Returns the next question to a lender, or empty if none is needed or left. */
    Optional<BorrowRequest> nextRequest(long nowNanos) {
        if (shortfall == 0 || lendersAsked == lenders.size()) {
            return Optional.empty();
        }
        return Optional.of(new BorrowRequest(lenders.get(lendersAsked++), account, id, shortfall, nowNanos));
    }

    /** Takes in the answer to {@code ask}; empty if none came in time. */
    void onReply(BorrowRequest ask, Optional<LoanGrant> grant, long nowNanos) {
        if (grant.isEmpty()) {
            lenderTimedOut = true;
            ledger.returnUnused(ask, ask.tokens());
            return;
        }
        long lent = Math.min(ask.tokens(), grant.get().tokens());
        if (lent < ask.tokens()) {
            ledger.backOffLender(account, ask, ask.tokens() - lent);
        }
        if (lent <= 0) {
            return;
        }
        if (nowNanos - ledger.loanExpiry(ask, grant.get()) >= 0) {
            ledger.returnUnused(ask, lent);
            return;
        }
        addPart(new Charge.Part(lent, unused -> ledger.returnUnused(ask, unused)));
    }

    /**
     * Ends the attempt.
     *
     * @throws InsufficientTokensException if too few tokens were gathered; they were given back
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
     * A question to a lender.
     *
     * @param sentAtNanos when it was sent, by the borrower's clock
     */
    record BorrowRequest(HostShare lender, String account, String id, long tokens, long sentAtNanos) {}
}
