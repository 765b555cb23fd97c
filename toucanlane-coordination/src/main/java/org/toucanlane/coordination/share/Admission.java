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
    private long missing;
    private int asked;
    private boolean unanswered;

    Admission(ShareLedger ledger, String account, String id, long tokens) {
        this.ledger = ledger;
        this.account = account;
        this.id = id;
        this.tokens = tokens;
        this.missing = tokens;
        ledger.takeOwn(account, id, tokens).ifPresent(this::add);
        this.lenders = missing > 0 ? ledger.lenders(account) : List.of();
    }

    private void add(Charge.Part part) {
        parts.add(part);
        missing -= part.tokens();
    }

    /** Returns the next question to a lender, or empty if none is needed or left. */
    Optional<Ask> nextAsk(long nowNanos) {
        if (missing == 0 || asked == lenders.size()) {
            return Optional.empty();
        }
        return Optional.of(new Ask(lenders.get(asked++), account, id, missing, nowNanos));
    }

    /** Takes in the answer to {@code ask}; empty if none came in time. */
    void answered(Ask ask, Optional<LoanGrant> grant, long nowNanos) {
        if (grant.isEmpty()) {
            unanswered = true;
            ledger.giveBackLoan(ask, ask.tokens());
            return;
        }
        long lent = Math.min(ask.tokens(), grant.get().tokens());
        if (lent < ask.tokens()) {
            ledger.lenderWasShort(account, ask, ask.tokens() - lent);
        }
        if (lent <= 0) {
            return;
        }
        if (nowNanos - ledger.usableUntil(ask, grant.get()) >= 0) {
            ledger.giveBackLoan(ask, lent);
            return;
        }
        add(new Charge.Part(lent, unused -> ledger.giveBackLoan(ask, unused)));
    }

    /**
     * Ends the attempt.
     *
     * @throws ShortOfTokensException if too few tokens were gathered; they were given back
     */
    Charge finish() throws ShortOfTokensException {
        Charge charge = Charge.of(parts);
        if (missing == 0) {
            return charge;
        }
        charge.settle(0);
        Duration retryAfter = ledger.accrualTime(account, missing);
        throw new ShortOfTokensException(
                "account " + account + " is short of " + missing + " of " + tokens + " tokens",
                retryAfter,
                unanswered || ledger.hasUnreachableHolder(account));
    }

    /**
     * A question to a lender.
     *
     * @param sentAt when it was sent, by the borrower's clock
     */
    record Ask(HostShare lender, String account, String id, long tokens, long sentAt) {}
}
