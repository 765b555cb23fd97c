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
 * One host's shares of the accounts' limits, and the loans that it takes from other holders.
 *
 * <p>Over any window, all hosts together admit at most {@code rate * window + burst} tokens for an account, counted at
 * admission and excluding refunds, even if messages are lost or delayed and hosts stop, pause or restart. Neither a
 * store nor an election is involved. The bound follows from the invariant of {@link AccountShare} at each holder, and
 * from borrowers spending a loan only until it expires by their own clock, measured from before the request was sent.
 *
 * <p>Prior art: escrow transactions (O'Neil, "The Escrow Transactional Method", 1986) and the demarcation protocol
 * (Barbará and Garcia-Molina, 1992).
 *
 * <p>Thread-safe. An admission that needs no loan takes only one account's lock and sends no messages.
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

    /** Returns a new builder. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Applies {@code next}, or new confirmations for the current table.
     *
     * <p>A share that moves from another holder is used only after that holder has confirmed the new table and its
     * loans have expired. Call this method periodically while shares are moving.
     *
     * @param confirmed latest configuration version that each other host has applied
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
     * Returns the limit that this host may use now. A completed move is not repeated when a later configuration version
     * contains the same move.
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

    /** Returns the time by which every loan of a previous process of this host has expired. */
    private long quarantineEnd() {
        return startedAtNanos + terms.lenderValidity().toNanos();
    }

    /**
     * Takes {@code tokens} of {@code account} from this host's share and borrows the remainder from other holders.
     *
     * @throws InsufficientTokensException if the reachable holders have too few tokens in total; the tokens taken are
     *     refunded
     * @throws IllegalArgumentException if {@code tokens} is not positive
     */
    public Charge admit(String account, long tokens) throws InsufficientTokensException {
        Preconditions.checkArgument(tokens > 0, "tokens must be positive: %s", tokens);
        Admission admission = begin(account, tokens);
        long deadline = clock.nanos() + terms.borrowTimeout().toNanos();
        Optional<Admission.BorrowRequest> next = admission.nextRequest(clock.nanos());
        while (next.isPresent()) {
            Admission.BorrowRequest request = next.get();
            Duration wait = Duration.ofNanos(Math.max(0, deadline - clock.nanos()));
            Optional<LoanGrant> grant =
                    transport.borrow(request.lender().host(), request.id(), account, request.tokens(), wait);
            admission.onReply(request, grant, clock.nanos());
            next = clock.nanos() < deadline ? admission.nextRequest(clock.nanos()) : Optional.empty();
        }
        return admission.finish();
    }

    /** Begins an admission by taking tokens from this host's share. */
    Admission begin(String account, long tokens) {
        Preconditions.checkArgument(tokens > 0, "tokens must be positive: %s", tokens);
        return new Admission(this, account, host + '/' + incarnation + '/' + nextId.incrementAndGet(), tokens);
    }

    /** Takes up to {@code tokens} from this host's share. */
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

    /** Returns the holders that can be asked for a loan, those in this data centre first. */
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

    /** Returns whether another holder of the account is currently unreachable. */
    boolean hasUnreachableHolder(String account) {
        return table.holders(account).stream()
                .map(HostShare::host)
                .anyMatch(holder -> !holder.equals(host) && !transport.isReachable(holder));
    }

    /** Excludes a lender that had too few tokens until the missing ones have accrued there. */
    void backOffLender(String account, Admission.BorrowRequest request, long missing) {
        long backoffNanos = lenderBackoffNanos(request.lender(), missing);
        lenderBackoffUntil.put(new LenderKey(account, request.lender().host()), request.sentAtNanos() + backoffNanos);
    }

    /** Returns the time until which a loan may be spent, by this host's clock. */
    long loanExpiry(Admission.BorrowRequest request, LoanGrant grant) {
        return request.sentAtNanos() + terms.borrowerValidity(grant.validity()).toNanos();
    }

    /** Returns unspent tokens of a loan to its lender. */
    void returnUnused(Admission.BorrowRequest request, long unused) {
        transport.returnUnused(request.lender().host(), request.id(), request.account(), unused);
    }

    private long lenderBackoffNanos(HostShare lender, long missing) {
        long rate = Math.max(1, lender.limit().tokensPerSecond());
        long nanos = (long) (missing * (double) TokenAmounts.UNITS_PER_TOKEN / rate);
        return Math.min(terms.maxLenderBackoff().toNanos(), nanos);
    }

    /** Returns the time in which the account accrues {@code missing} tokens over all hosts. */
    Duration accrualTime(String account, long missing) {
        long rate = Math.max(
                1,
                table.holders(account).stream()
                        .mapToLong(holder -> holder.limit().tokensPerSecond())
                        .sum());
        return Duration.ofMillis(Math.max(1, missing * 1000 / rate));
    }

    /** Lends tokens from this host's share to another host. The grant has 0 tokens if none are free. */
    public LoanGrant lend(String loanId, String account, long tokens) {
        AccountShare share = shares.get(account);
        if (share == null || tokens <= 0) {
            return new LoanGrant(0, Duration.ZERO);
        }
        long now = clock.nanos();
        long lent = share.lend(loanId, tokens, now, now + terms.lenderValidity().toNanos());
        return new LoanGrant(lent, terms.validity());
    }

    /** Accepts the unspent tokens of a loan to another host. */
    public void acceptReturn(String loanId, String account, long unusedTokens) {
        AccountShare share = shares.get(account);
        if (share != null) {
            share.refund(loanId, unusedTokens, clock.nanos());
        }
    }

    /** Returns the number of free tokens in this host's share of {@code account}. */
    public long freeTokens(String account) {
        AccountShare share = shares.get(account);
        return share == null ? 0 : share.freeTokens(clock.nanos());
    }

    /** Returns the current table. */
    public ShareTable table() {
        return table;
    }

    private record LenderKey(String account, String lender) {}

    /** Builder for {@link ShareLedger}. Not thread-safe. */
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

        /** Sets the clock. The default is {@link MonotonicClock#system()}. */
        public Builder clock(MonotonicClock value) {
            this.clock = value;
            return this;
        }

        /** Sets the transport for loans. */
        public Builder transport(LoanTransport value) {
            this.transport = value;
            return this;
        }

        /** Sets the loan terms. The default is {@link LoanTerms#defaults()}. */
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
