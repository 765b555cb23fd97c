package org.toucanlane.coordination.share;

import com.google.common.base.Preconditions;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.toucanlane.coordination.clock.MonotonicClock;

/**
 * One host's view of every account's limit: the shares that it holds and the loans that it takes from other holders.
 *
 * <p>Over any window, all hosts together admit for an account at most {@code rate * window + burst} tokens, counted at
 * admission and without what was given back, whatever messages are lost or late and whichever hosts stop, pause or
 * restart. No store and no election takes part. The bound holds by {@link AccountShare}'s invariant at each holder and
 * because a borrower spends a loan only before it expires by its own clock, counted from before it asked.
 *
 * <p>Prior art: escrow transactions (O'Neil, "The Escrow Transactional Method", 1986) and the demarcation protocol
 * (Barbará and Garcia-Molina, 1992).
 *
 * <p>Thread-safe. An admission that needs no loan takes one account's lock and sends nothing.
 */
public final class ShareLedger {

    private final String host;
    private final String dataCentre;
    private final long incarnation;
    private final MonotonicClock clock;
    private final LoanTransport transport;
    private final LoanTerms terms;
    private final long startedAtNanos;
    private final Map<String, AccountShare> shares = new ConcurrentHashMap<>();
    private final Map<LenderKey, Long> lenderBackoffUntil = new ConcurrentHashMap<>();
    private final Map<String, Long> increaseAllowedAt = new HashMap<>();
    private final Map<String, ShareMove> completedMoves = new HashMap<>();
    private final AtomicLong nextId = new AtomicLong();
    private volatile ShareTable table = ShareTable.empty();

    private ShareLedger(Builder builder) {
        this.host = Preconditions.checkNotNull(builder.host, "host");
        this.dataCentre = Preconditions.checkNotNull(builder.dataCentre, "dataCentre");
        this.incarnation = builder.incarnation;
        this.clock = Preconditions.checkNotNull(builder.clock, "clock");
        this.transport = Preconditions.checkNotNull(builder.transport, "transport");
        this.terms = Preconditions.checkNotNull(builder.terms, "terms");
        this.startedAtNanos = clock.nanos();
    }

    /** Returns a builder without values. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Puts {@code next} into force, or takes note of new confirmations of the table in force.
     *
     * <p>A share that came from another holder is used only once that holder has confirmed and its loans have expired.
     * Call this again from time to time while shares move.
     *
     * @param confirmed the newest version of the configuration that each other host has in force
     */
    public synchronized void apply(ShareTable next, Map<String, Long> confirmed) {
        if (next.version() < table.version()) {
            return;
        }
        long now = clock.nanos();
        Set<String> affected = next == table ? next.moving() : next.accounts();
        affected.forEach(account -> applyLimit(account, next, confirmed, now));
        shares.forEach((account, share) -> {
            if (!next.accounts().contains(account)) {
                share.resize(ShareLimit.NONE, now);
            }
        });
        table = next;
    }

    private void applyLimit(String account, ShareTable next, Map<String, Long> confirmed, long now) {
        ShareLimit limit = usableLimit(account, next, confirmed, now);
        AccountShare share = shares.get(account);
        if (share != null && !share.limit().equals(limit)) {
            share.resize(limit, now);
        } else if (share == null && !limit.equals(ShareLimit.NONE)) {
            shares.put(account, AccountShare.startingEmpty(limit, Math.max(now, quarantineEnd())));
        }
    }

    /**
     * Returns what this host may use now. A move that it has been through once is not gone through again when a later
     * version tells of the same one.
     */
    private ShareLimit usableLimit(String account, ShareTable next, Map<String, Long> confirmed, long now) {
        Optional<ShareMove> move = next.move(account);
        if (move.isEmpty()) {
            completedMoves.remove(account);
            increaseAllowedAt.remove(account);
            return next.limitOf(account, host, confirmed);
        }
        if (move.get().equals(completedMoves.get(account))) {
            return ShareSplit.heldBy(host, move.get().after());
        }
        ShareLimit limit = next.limitOf(account, host, confirmed);
        ShareLimit current = shares.containsKey(account) ? shares.get(account).limit() : ShareLimit.NONE;
        if (limit.isWithin(current)) {
            increaseAllowedAt.remove(account);
            return limit;
        }
        long from = increaseAllowedAt.computeIfAbsent(
                account, key -> now + terms.lenderValidity().toNanos());
        if (from - now > 0) {
            return limit.min(current);
        }
        completedMoves.put(account, move.get());
        return limit;
    }

    /** Returns when every loan of an earlier process of this host has expired. */
    private long quarantineEnd() {
        return startedAtNanos + terms.lenderValidity().toNanos();
    }

    /**
     * Takes {@code tokens} of {@code account} here and, as far as this host is short, from other holders.
     *
     * @throws InsufficientTokensException if all reachable holders together are short; everything taken was given back
     * @throws IllegalArgumentException if {@code tokens} is not positive
     */
    public Charge admit(String account, long tokens) throws InsufficientTokensException {
        Preconditions.checkArgument(tokens > 0, "tokens must be positive: %s", tokens);
        Admission admission = begin(account, tokens);
        long deadline = clock.nanos() + terms.borrowTimeout().toNanos();
        Optional<Admission.BorrowRequest> ask = admission.nextRequest(clock.nanos());
        while (ask.isPresent()) {
            Admission.BorrowRequest asked = ask.get();
            Duration wait = Duration.ofNanos(Math.max(0, deadline - clock.nanos()));
            Optional<LoanGrant> grant =
                    transport.borrow(asked.lender().host(), asked.id(), account, asked.tokens(), wait);
            admission.onReply(asked, grant, clock.nanos());
            ask = clock.nanos() < deadline ? admission.nextRequest(clock.nanos()) : Optional.empty();
        }
        return admission.finish();
    }

    /** Begins an admission with what this host holds. */
    Admission begin(String account, long tokens) {
        Preconditions.checkArgument(tokens > 0, "tokens must be positive: %s", tokens);
        return new Admission(this, account, host + '/' + incarnation + '/' + nextId.incrementAndGet(), tokens);
    }

    /** Takes up to {@code tokens} of this host's share. */
    Optional<Charge.Part> takeLocal(String account, String id, long tokens) {
        AccountShare share = shares.get(account);
        if (share == null) {
            return Optional.empty();
        }
        long now = clock.nanos();
        long taken = share.lend(id, tokens, now, now);
        return taken == 0
                ? Optional.empty()
                : Optional.of(new Charge.Part(taken, unused -> share.refund(id, unused, clock.nanos())));
    }

    /** Returns the holders to ask for a loan, those of this data centre first. */
    List<HostShare> lenders(String account) {
        long now = clock.nanos();
        return table.holders(account).stream()
                .filter(holder -> !holder.host().equals(host))
                .filter(holder -> transport.isReachable(holder.host()))
                .filter(holder ->
                        lenderBackoffUntil.getOrDefault(new LenderKey(account, holder.host()), now) - now <= 0)
                .sorted((a, b) -> Boolean.compare(
                        b.dataCentre().equals(dataCentre), a.dataCentre().equals(dataCentre)))
                .toList();
    }

    /** Returns whether a holder of a part of the limit can't be asked now. */
    boolean hasUnreachableHolder(String account) {
        return table.holders(account).stream()
                .map(HostShare::host)
                .anyMatch(holder -> !holder.equals(host) && !transport.isReachable(holder));
    }

    /** Notes that a lender had fewer tokens than asked for, so that it is left alone until more have accrued. */
    void backOffLender(String account, Admission.BorrowRequest ask, long missing) {
        long pause = lenderBackoffNanos(ask.lender(), missing);
        lenderBackoffUntil.put(new LenderKey(account, ask.lender().host()), ask.sentAtNanos() + pause);
    }

    /** Returns until when a loan may be spent, by this host's clock. */
    long loanExpiry(Admission.BorrowRequest ask, LoanGrant grant) {
        return ask.sentAtNanos() + terms.borrowerValidity(grant.validity()).toNanos();
    }

    /** Tells a lender that tokens of a loan were not spent. */
    void returnUnused(Admission.BorrowRequest ask, long unused) {
        transport.returnUnused(ask.lender().host(), ask.id(), ask.account(), unused);
    }

    private long lenderBackoffNanos(HostShare lender, long missing) {
        long rate = Math.max(1, lender.limit().tokensPerSecond());
        long nanos = (long) (missing * (double) TokenAmounts.UNITS_PER_TOKEN / rate);
        return Math.min(terms.maxLenderBackoff().toNanos(), nanos);
    }

    /** Returns in what time the account accrues {@code missing} tokens over all hosts. */
    Duration accrualTime(String account, long missing) {
        long rate = Math.max(
                1,
                table.holders(account).stream()
                        .mapToLong(holder -> holder.limit().tokensPerSecond())
                        .sum());
        return Duration.ofMillis(Math.max(1, missing * 1000 / rate));
    }

    /** Lends tokens of this host's share to another host; returns a grant of 0 tokens when short. */
    public LoanGrant lend(String loanId, String account, long tokens) {
        AccountShare share = shares.get(account);
        if (share == null || tokens <= 0) {
            return new LoanGrant(0, Duration.ZERO);
        }
        long now = clock.nanos();
        long lent = share.lend(loanId, tokens, now, now + terms.lenderValidity().toNanos());
        return new LoanGrant(lent, terms.validity());
    }

    /** Takes back what another host did not spend of a loan. */
    public void acceptReturn(String loanId, String account, long unusedTokens) {
        AccountShare share = shares.get(account);
        if (share != null) {
            share.refund(loanId, unusedTokens, clock.nanos());
        }
    }

    /** Returns the free tokens of this host's share of {@code account}. */
    public long freeTokens(String account) {
        AccountShare share = shares.get(account);
        return share == null ? 0 : share.freeTokens(clock.nanos());
    }

    /** Returns the table in force. */
    public ShareTable table() {
        return table;
    }

    private record LenderKey(String account, String lender) {}

    /** Collects what a ledger needs. Not thread-safe. */
    public static final class Builder {

        private String host;
        private String dataCentre;
        private long incarnation;
        private MonotonicClock clock = MonotonicClock.system();
        private LoanTransport transport;
        private LoanTerms terms = LoanTerms.defaults();

        private Builder() {}

        /** Sets this host's name, data centre and incarnation. */
        public Builder self(String name, String centre, long processIncarnation) {
            this.host = name;
            this.dataCentre = centre;
            this.incarnation = processIncarnation;
            return this;
        }

        /** Sets the clock; the process's own by default. */
        public Builder clock(MonotonicClock value) {
            this.clock = value;
            return this;
        }

        /** Sets how loans travel. */
        public Builder transport(LoanTransport value) {
            this.transport = value;
            return this;
        }

        /** Sets the loans' times. */
        public Builder terms(LoanTerms value) {
            this.terms = value;
            return this;
        }

        /**
         * Returns a ledger without accounts.
         *
         * @throws NullPointerException if the host, the data centre or the transport is missing
         */
        public ShareLedger build() {
            return new ShareLedger(this);
        }
    }
}
