package org.toucanlane.edge.call;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.serving.ServingAccount;
import org.toucanlane.edge.telemetry.CallMetrics;
import org.toucanlane.edge.telemetry.DecisionLog;
import org.toucanlane.policy.queue.PlaceEstimate;
import org.toucanlane.policy.queue.WaitingQueue;
import org.toucanlane.policy.queue.WaitingRequest;

/**
 * The requests that wait at this host until an endpoint has room, with a {@link WaitingQueue} for each service.
 *
 * <p>Only requests of this host's own callers wait, and only for a service that urgent and patient routes share. They are
 * tried in order whenever a request of the service ends, before a less urgent one arrives, and periodically, since other
 * hosts' requests end too. Invariant: a waiting request has no attempt in progress and may not have run. Used on the
 * host's event loop only.
 */
final class WaitingCalls {

    /** Interval at which waiting requests are tried; short compared with the objectives of requests that may wait. */
    private static final Duration TRY_INTERVAL = Duration.ofMillis(20);

    /** Number of requests without room after which a pass over the queue ends. */
    private static final int MAX_FAILED_TRIES = 4;

    /** Maximum number of requests sent in one pass, so that the event loop serves others in between. */
    private static final int MAX_TRIES = 32;

    /** Maximum number of waiting requests of a service; more than a host can serve within usual objectives. */
    private static final int MAX_WAITING = 2_000;

    private final EventLoop loop;
    private final ToDoubleFunction<ServingAccount> weightOf;
    private final DecisionLog log;
    private final CallMetrics metrics;
    private final Map<String, ServiceQueue> queues = new HashMap<>();
    private final Map<Waiter, Entry> entries = new IdentityHashMap<>();
    private boolean timerRunning;
    private boolean closed;

    /**
     * Creates queues without requests.
     *
     * @param weightOf returns the tokens a second that an account may use at this host, or 0 if it has no limit
     */
    WaitingCalls(EventLoop loop, ToDoubleFunction<ServingAccount> weightOf, DecisionLog log, CallMetrics metrics) {
        this.loop = loop;
        this.weightOf = weightOf;
        this.log = log;
        this.metrics = metrics;
    }

    /**
     * Adds a request that can't be sent now, if it may wait.
     *
     * @param arrival time at which this host received the request, as a {@link System#nanoTime()} value
     * @return whether the request waits; if not, it has to be refused
     */
    boolean offer(Waiter waiter, AdmittedCall call, long arrival, PlaceEstimate estimate) {
        if (closed || !mayWait(call)) {
            return false;
        }
        ServiceQueue service = queues.computeIfAbsent(call.service(), this::createQueue);
        Entry entry = new Entry(waiter, call, service);
        Optional<WaitingQueue.Ticket<Entry>> ticket =
                service.queue.offer(request(call, arrival), entry, estimate, System.nanoTime());
        ticket.ifPresent(accepted -> {
            entry.ticket = accepted;
            entries.put(waiter, entry);
            startTimer();
        });
        return ticket.isPresent();
    }

    /** Sends the waiting requests that go before {@code call}, which has just arrived, as far as there is room. */
    void sendThoseBefore(AdmittedCall call, long arrival) {
        ServiceQueue service = queues.get(call.service());
        if (service != null && service.queue.hasRequestBefore(request(call, arrival))) {
            sendWaiting(service);
        }
    }

    /**
     * Removes a request that has ended, and lets others of its service use its place.
     *
     * @param sent whether it was sent to an endpoint or to another host
     */
    void onEnded(Waiter waiter, String serviceName, boolean sent) {
        remove(waiter, "ended");
        ServiceQueue service = queues.get(serviceName);
        if (service == null || !sent) {
            return;
        }
        service.queue.recordFreedPlace(System.nanoTime());
        if (service.queue.size() > 0 && !service.passScheduled) {
            service.passScheduled = true;
            loop.execute(() -> {
                service.passScheduled = false;
                sendWaiting(service);
            });
        }
    }

    /** Refuses all waiting requests, and lets none wait any more. */
    void close() {
        closed = true;
        List.copyOf(entries.values())
                .forEach(entry -> leave(
                        entry,
                        "stopping",
                        new CallRefusedException(
                                ErrorKind.LEAVING, DrainCheck.RETRY_AFTER, "this host is shutting down")));
    }

    /** Returns the number of waiting requests of all services. */
    int size() {
        return entries.size();
    }

    private static boolean mayWait(AdmittedCall call) {
        return call.forwardedBy().isEmpty() && call.routeBounds().mixesUrgentAndPatient();
    }

    private WaitingRequest request(AdmittedCall call, long arrival) {
        return new WaitingRequest(
                call.rank(),
                arrival,
                call.route().latencyObjective(),
                call.deadlineNanos(),
                Math.max(1, call.head().prompt().map(Prompt::chargedTokens).orElse(0L)),
                call.accountName(),
                call.account().map(weightOf::applyAsDouble).orElse(0.0));
    }

    private ServiceQueue createQueue(String service) {
        ServiceQueue created = new ServiceQueue();
        metrics.registerWaiting(service, created.queue::size);
        return created;
    }

    private void startTimer() {
        if (!timerRunning) {
            timerRunning = true;
            loop.schedule(
                    log.logFailures("waiting requests", this::onTimer), TRY_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void onTimer() {
        timerRunning = false;
        if (entries.isEmpty()) {
            return;
        }
        startTimer();
        for (ServiceQueue service : List.copyOf(queues.values())) {
            refuseExpired(service);
            sendWaiting(service);
        }
    }

    private void refuseExpired(ServiceQueue service) {
        for (WaitingQueue.Departure<Entry> departure : service.queue.expire(System.nanoTime())) {
            Entry entry = departure.item();
            leave(
                    entry,
                    departure.reason().code(),
                    new CallRefusedException(
                            ErrorKind.OVERLOADED,
                            departure.retryAfter(),
                            "no endpoint of service " + entry.call.service() + " had room within "
                                    + entry.waitedMillis() + " ms"));
        }
    }

    private void sendWaiting(ServiceQueue service) {
        int failed = 0;
        for (WaitingQueue.Ticket<Entry> ticket : service.queue.first(MAX_TRIES)) {
            if (failed == MAX_FAILED_TRIES) {
                return;
            }
            Entry entry = ticket.item();
            if (!service.queue.contains(ticket)) {
                continue;
            }
            Optional<PlaceEstimate> later = entry.waiter.sendIfRoom();
            if (later.isPresent()) {
                failed++;
                service.queue.update(ticket, later.get(), System.nanoTime());
            } else {
                leaveQueue(entry, "sent", service.queue::recordSent);
            }
        }
    }

    private void leave(Entry entry, String reason, CallRefusedException refusal) {
        if (!entry.left) {
            leaveQueue(entry, reason, entry.service.queue::remove);
            entry.waiter.onRefused(refusal);
        }
    }

    private void remove(Waiter waiter, String reason) {
        Entry entry = entries.get(waiter);
        if (entry != null) {
            leaveQueue(entry, reason, entry.service.queue::remove);
        }
    }

    private void leaveQueue(Entry entry, String reason, Consumer<WaitingQueue.Ticket<Entry>> removal) {
        if (entry.left) {
            return;
        }
        entry.left = true;
        // The request may wait again already, with another entry.
        entries.remove(entry.waiter, entry);
        removal.accept(entry.ticket);
        metrics.recordWaited(entry.call.service(), reason, entry.waitedMillis());
        log.decision(
                "queue_left",
                "request",
                entry.call.head().id(),
                "service",
                entry.call.service(),
                "route",
                entry.call.route().name(),
                "reason",
                reason,
                "waited_ms",
                entry.waitedMillis(),
                "waiting",
                entry.service.queue.size());
    }

    /** A request that can wait. */
    interface Waiter {

        /**
         * Sends the request if an endpoint has room, or ends it if it can't be served any more.
         *
         * @return empty if it no longer waits, or else when it is expected to be sent
         */
        Optional<PlaceEstimate> sendIfRoom();

        /** Called when the request no longer waits and is to be refused. */
        void onRefused(CallRefusedException refusal);
    }

    /** The queue of one service. */
    private static final class ServiceQueue {
        private final WaitingQueue<Entry> queue = new WaitingQueue<>(MAX_WAITING);
        private boolean passScheduled;
    }

    /** A waiting request and its ticket. */
    private static final class Entry {
        private final Waiter waiter;
        private final AdmittedCall call;
        private final ServiceQueue service;
        private final long since = System.nanoTime();
        private WaitingQueue.Ticket<Entry> ticket;
        private boolean left;

        private Entry(Waiter waiter, AdmittedCall call, ServiceQueue service) {
            this.waiter = waiter;
            this.call = call;
            this.service = service;
        }

        private long waitedMillis() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - since);
        }
    }
}
