package org.toucanlane.coordination.share;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Simulates three hosts with real ledgers, a network that holds each message until it is delivered or lost, and a
 * manual clock. Every step is a separate action, so that tests can explore all orders. Not thread-safe.
 */
final class LedgerSimulation {

    static final ShareLimit LIMIT = new ShareLimit(20, 2);
    static final long TICK = Duration.ofSeconds(1).toNanos();

    private static final Duration VALIDITY = Duration.ofMillis(1500);
    private static final int WARM_UP_TICKS = 6;
    private static final Map<String, String> HOLDERS = new TreeMap<>(Map.of("x", "h1", "y", "h2"));
    private static final List<String> HOSTS = List.of("h1", "h2", "h3");

    private final Variant variant;
    private final Map<String, ShareLedger> ledgers = new HashMap<>();
    private final Map<String, Pending> pending = new TreeMap<>();
    private final Map<String, AdmissionHistory> histories = new HashMap<>();
    private final List<Message> network = new ArrayList<>();
    private final List<Admitted> admitted = new ArrayList<>();
    private long now;
    private int restarts;

    LedgerSimulation(Variant variant) {
        this.variant = variant;
        HOLDERS.keySet().forEach(account -> histories.put(account, new AdmissionHistory()));
        HOSTS.forEach(this::startLedger);
        now = WARM_UP_TICKS * TICK;
    }

    /** The behaviour of the ledgers; all variants except {@link #CORRECT} are negative controls with a known fault. */
    enum Variant {
        CORRECT,
        LOAN_OUTLIVES_LENDER_RECORD,
        RESTART_WITHOUT_QUARANTINE
    }

    private void startLedger(String host) {
        boolean skipsQuarantine = variant == Variant.RESTART_WITHOUT_QUARANTINE && restarts > 0;
        LoanTerms terms =
                new LoanTerms(skipsQuarantine ? Duration.ofNanos(1) : VALIDITY, Duration.ZERO, Duration.ZERO, 1);
        ShareLedger ledger = ShareLedger.builder()
                .self(host, "d", ++restarts)
                .clock(() -> now)
                .transport(new Outbox(host))
                .terms(terms)
                .build();
        Map<String, List<HostShare>> shares = new HashMap<>();
        HOLDERS.forEach((account, holder) -> shares.put(account, List.of(new HostShare(holder, "d", LIMIT))));
        ledger.apply(ShareTable.of(1, shares, Map.of(), Set.copyOf(HOSTS)), Map.of());
        ledgers.put(host, ledger);
    }

    /** Returns all actions that are possible in the current state. */
    List<Action> actions() {
        List<Action> actions = new ArrayList<>();
        start(actions, "h1", "x");
        start(actions, "h3", "x");
        start(actions, "h1", "y");
        for (int i = 0; i < network.size(); i++) {
            int index = i;
            actions.add(new Action("deliver " + network.get(i), () -> deliver(network.remove(index))));
            actions.add(new Action("lose " + network.get(i), () -> network.remove(index)));
        }
        actions.add(new Action("tick", () -> now += TICK));
        actions.add(new Action("restart h1", () -> restart("h1")));
        pending.keySet().forEach(key -> actions.add(new Action("time out " + key, () -> timeOut(key))));
        if (!admitted.isEmpty()) {
            actions.add(new Action("refund", this::refundLast));
        }
        return actions;
    }

    private void start(List<Action> actions, String host, String account) {
        String key = host + account;
        if (!pending.containsKey(key)) {
            actions.add(new Action("start " + key, () -> begin(host, account)));
        }
    }

    private void begin(String host, String account) {
        Admission admission = ledgers.get(host).begin(account, LIMIT.burstTokens());
        advance(host, account, admission);
    }

    private void advance(String host, String account, Admission admission) {
        Optional<Admission.BorrowRequest> request = admission.nextRequest(now);
        if (request.isPresent()) {
            pending.put(host + account, new Pending(admission, request.get()));
            network.add(new Request(host, request.get()));
            return;
        }
        try {
            Charge charge = admission.finish();
            int index = histories.get(account).add(now, charge.tokens());
            admitted.add(new Admitted(account, index, charge));
        } catch (InsufficientTokensException e) {
            // A refused request admits no tokens.
        }
    }

    private void deliver(Message message) {
        if (message instanceof Request delivered) {
            String lender = delivered.request.lender().host();
            LoanGrant grant = ledgers.get(lender)
                    .lend(delivered.request.id(), delivered.request.account(), delivered.request.tokens());
            boolean outlives = variant == Variant.LOAN_OUTLIVES_LENDER_RECORD;
            LoanGrant sent = outlives ? new LoanGrant(grant.tokens(), VALIDITY.multipliedBy(10)) : grant;
            network.add(new Reply(delivered.borrower, delivered.request, sent));
        } else if (message instanceof Reply reply) {
            handleReply(reply.borrower + reply.request.account(), reply.request, Optional.of(reply.grant));
        } else if (message instanceof Return back) {
            ledgers.get(back.lender).acceptReturn(back.id, back.account, back.tokens);
        }
    }

    private void handleReply(String key, Admission.BorrowRequest request, Optional<LoanGrant> grant) {
        Pending waiting = pending.get(key);
        if (waiting == null || waiting.request != request) {
            return;
        }
        pending.remove(key);
        waiting.admission.onReply(request, grant, now);
        advance(key.substring(0, 2), request.account(), waiting.admission);
    }

    private void timeOut(String key) {
        handleReply(key, pending.get(key).request, Optional.empty());
    }

    private void restart(String host) {
        pending.keySet().removeIf(key -> key.startsWith(host));
        admitted.clear();
        startLedger(host);
    }

    private void refundLast() {
        Admitted last = admitted.remove(admitted.size() - 1);
        last.charge.settle(0);
        histories.get(last.account).refund(last.index, last.charge.tokens());
    }

    /** Returns whether any window of any account exceeds its limit. */
    boolean exceedsLimit() {
        return histories.values().stream().anyMatch(record -> record.maxExcess(LIMIT) > 0);
    }

    /** A possible next step of the simulation. */
    record Action(String name, Runnable effect) {}

    private record Pending(Admission admission, Admission.BorrowRequest request) {}

    private record Admitted(String account, int index, Charge charge) {}

    private sealed interface Message {}

    private record Request(String borrower, Admission.BorrowRequest request) implements Message {
        @Override
        public String toString() {
            return "request " + request.id();
        }
    }

    private record Reply(String borrower, Admission.BorrowRequest request, LoanGrant grant) implements Message {
        @Override
        public String toString() {
            return "reply " + request.id() + " of " + grant.tokens();
        }
    }

    private record Return(String lender, String id, String account, long tokens) implements Message {
        @Override
        public String toString() {
            return "return " + id;
        }
    }

    /** Queues the messages that a ledger sends by itself. */
    private final class Outbox implements LoanTransport {

        private final String host;

        Outbox(String host) {
            this.host = host;
        }

        @Override
        public Optional<LoanGrant> borrow(String lender, String loanId, String account, long tokens, Duration wait) {
            throw new UnsupportedOperationException("the simulation delivers messages itself");
        }

        @Override
        public void returnUnused(String lender, String loanId, String account, long unusedTokens) {
            network.add(new Return(lender, loanId, account, unusedTokens));
        }

        @Override
        public boolean isReachable(String other) {
            return !other.equals(host);
        }
    }
}
