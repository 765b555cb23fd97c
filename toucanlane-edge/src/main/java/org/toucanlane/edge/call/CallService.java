package org.toucanlane.edge.call;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.edge.fleet.EndpointHandle;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.fleet.HostHandle;
import org.toucanlane.edge.fleet.PromptSegment;
import org.toucanlane.edge.http.InboundRequest;
import org.toucanlane.edge.http.RequestHandler;
import org.toucanlane.edge.limit.AccountLimiter;
import org.toucanlane.edge.state.FreshnessLease;
import org.toucanlane.edge.telemetry.CallMetrics;
import org.toucanlane.edge.telemetry.DecisionLog;
import org.toucanlane.policy.overload.ArrivalQueue;
import org.toucanlane.policy.quarantine.SegmentQuarantine;

/** Serves requests from callers and requests forwarded by other hosts. Used on the host's event loop only. */
public final class CallService {

    /** Retry delay if there is no memory for a body; others take seconds to be sent and answered. */
    private static final Duration MEMORY_RETRY_AFTER = Duration.ofSeconds(1);

    /** Maximum number of bytes of incomplete responses that a host buffers. */
    private static final long MAX_BUFFERED_RESPONSE_BYTES = 16L << 20;

    private final CallContext context;
    private final CallAdmission admission;
    private boolean closed;

    private CallService(CallContext context, CallAdmission admission) {
        this.context = context;
        this.admission = admission;
    }

    /**
     * Creates the service of a host.
     *
     * @param state the host's view of the system
     * @param location name and region of the host
     * @param retryLimits this host's limits on retries
     * @param metrics counters and histograms
     * @param promptSentListener receives each endpoint and the prompt parts sent to it
     */
    public static CallService create(
            EventLoop loop,
            CallDialect dialect,
            HostState state,
            DecisionLog log,
            CallMetrics metrics,
            Location location,
            RetryLimits retryLimits,
            BiConsumer<EndpointHandle, List<PromptSegment>> promptSentListener) {
        Router router = new Router(
                state.fleet(),
                location.host(),
                location.region(),
                state.responsive(),
                RandomGenerator.of("L64X128MixRandom"));
        SegmentQuarantine quarantine = state.quarantine();
        GracePeriod gracePeriod = new GracePeriod();
        CallContext context = new CallContext(
                loop,
                dialect,
                router,
                state.limiter(),
                new CallContext.RetryBudgets(retryLimits.retriesPerRequest(), retryLimits.maxSavedRetries()),
                promptSentListener,
                new QuarantineCheck(quarantine),
                new CrashDetector(loop, log, new PoolCheck(), quarantine::recordCrash, quarantine::recordSurvival),
                new ResponseBuffers(MAX_BUFFERED_RESPONSE_BYTES),
                new LinkedHashSet<>(),
                gracePeriod,
                new DrainCheck(gracePeriod),
                new WaitingCalls(
                        loop,
                        account -> account.ratePerSecond()
                                * state.limiter().shareOf(account.name()).fraction(),
                        log,
                        metrics),
                log,
                metrics,
                location.host());
        return new CallService(context, new CallAdmission(state, dialect));
    }

    /**
     * Sends requests for which no data has arrived for too long to alternative upstreams. Call this method several times
     * a second.
     */
    public void retryStalledCalls() {
        long now = System.nanoTime();
        List.copyOf(context.repeatableCalls()).forEach(call -> call.sendAlternativeIfStalled(now));
    }

    /**
     * Begins the grace period, after which the requests that are still running are ended. New requests that aren't expected
     * to end in it are refused, and so are those that wait for an endpoint.
     */
    public void beginGracePeriod(Duration length) {
        context.gracePeriod().begin(System.nanoTime(), length);
        context.waitingCalls().close();
    }

    /** Refuses all new requests; requests in progress continue. */
    public void refuseNewRequests() {
        closed = true;
    }

    /** Returns the handler for requests from callers. */
    public RequestHandler callerHandler() {
        return new Handler(admission::admit, false);
    }

    /** Returns the handler for requests forwarded by other hosts. */
    public RequestHandler hostHandler() {
        return new Handler(admission::admitForwarded, true);
    }

    private void serve(InboundRequest request, Admitter admitter, boolean forwarded) {
        try {
            serve(request, admission.readHead(request.head()), admitter, forwarded);
        } catch (CallRefusedException e) {
            request.body().release();
            refuse(request, Optional.empty(), e, forwarded);
        }
    }

    private void serve(InboundRequest request, CallHead head, Admitter admitter, boolean forwarded) {
        try {
            if (closed) {
                throw new CallRefusedException(ErrorKind.LEAVING, DrainCheck.RETRY_AFTER, "this host is shutting down");
            }
            new Call(context, request, admitter.admit(request.head(), head, request.receivedAt())).start();
        } catch (CallRefusedException e) {
            request.body().release();
            refuse(request, Optional.of(head.id()), e, forwarded);
        }
    }

    private Optional<RequestHandler.Prepared> prepare(InboundRequest request, Admitter admitter, boolean forwarded) {
        try {
            CallHead head = admission.readHead(request.head());
            Optional<ArrivalQueue.Terms> terms =
                    forwarded ? admission.termsForwarded(request.head(), head) : admission.terms(head);
            return terms.map(known -> new LateCall(request, head, known, admitter, forwarded));
        } catch (CallRefusedException e) {
            // The handler refuses it for the same reason, at no cost.
            return Optional.empty();
        }
    }

    /** A request that waits while the event loop is late. */
    private final class LateCall implements RequestHandler.Prepared {

        private final InboundRequest request;
        private final CallHead head;
        private final ArrivalQueue.Terms terms;
        private final Admitter admitter;
        private final boolean forwarded;

        private LateCall(
                InboundRequest request, CallHead head, ArrivalQueue.Terms terms, Admitter admitter, boolean forwarded) {
            this.request = request;
            this.head = head;
            this.terms = terms;
            this.admitter = admitter;
            this.forwarded = forwarded;
        }

        @Override
        public ArrivalQueue.Terms terms() {
            return terms;
        }

        @Override
        public void handle() {
            serve(request, head, admitter, forwarded);
        }

        @Override
        public void refuseAsLate() {
            request.body().release();
            long age = System.nanoTime() - request.receivedAt();
            refuse(
                    request,
                    Optional.of(head.id()),
                    CallAdmission.late(
                            head, age, "the objective is " + terms.objective().toMillis() + " ms"),
                    forwarded);
        }
    }

    private void refuseWithoutBody(InboundRequest request, boolean forwarded) {
        refuse(
                request,
                Optional.of(context.dialect().requestId(request.head())),
                new CallRefusedException(
                        ErrorKind.OVERLOADED,
                        MEMORY_RETRY_AFTER,
                        "no memory is left for the body or the long head of the request"),
                forwarded);
    }

    private void refuse(InboundRequest request, Optional<String> id, CallRefusedException e, boolean forwarded) {
        ErrorKind kind = e.kind();
        FullHttpResponse response = context.dialect()
                .refusalResponse(new Refusal(kind, e.retryAfter(), id, String.valueOf(e.getMessage())));
        if (forwarded) {
            HopHeaders.markRefusal(response.headers(), kind, false);
        }
        request.responder().respond(response);
        context.metrics().recordRefusal(kind);
        context.log()
                .decision(
                        "request_" + kind.code(),
                        "request",
                        id.orElse(""),
                        "status",
                        kind.status(),
                        "retry_after_ms",
                        e.retryAfter().toMillis(),
                        "after_stop_ms",
                        context.gracePeriod().millisUntil(request.receivedAt()),
                        "cause",
                        String.valueOf(e.getMessage()));
    }

    /** Tests the connections in the pools of endpoints. */
    private static final class PoolCheck implements CrashDetector.ConnectionCheck {

        @Override
        public boolean hasConnectionOpenedBefore(EndpointHandle endpoint, long time) {
            return endpoint.pool().hasConnectionOpenedBefore(time);
        }

        @Override
        public boolean hasOpenConnection(EndpointHandle endpoint) {
            return endpoint.pool().hasOpenConnection();
        }

        @Override
        public void openIfNone(EndpointHandle endpoint, Consumer<Boolean> result) {
            endpoint.pool().openIfNone(result);
        }
    }

    /** Handles requests from callers, or those that other hosts have forwarded. */
    private final class Handler implements RequestHandler {

        private final Admitter admitter;
        private final boolean forwarded;

        private Handler(Admitter admitter, boolean forwarded) {
            this.admitter = admitter;
            this.forwarded = forwarded;
        }

        @Override
        public void handle(InboundRequest request) {
            serve(request, admitter, forwarded);
        }

        @Override
        public Optional<Prepared> prepare(InboundRequest request) {
            return CallService.this.prepare(request, admitter, forwarded);
        }

        @Override
        public void refuseForMemory(InboundRequest request) {
            refuseWithoutBody(request, forwarded);
        }
    }

    /** Admits a request. */
    private interface Admitter {
        AdmittedCall admit(HttpRequest request, CallHead head, long receivedAt) throws CallRefusedException;
    }

    /**
     * The state on which a host bases its decisions.
     *
     * @param fleet configuration, endpoints and hosts
     * @param freshness whether the configuration and the keys are recent enough to rely on
     * @param limiter account limits
     * @param quarantine prompt segments and whole requests that must not be sent to endpoints
     * @param responsive tests whether the reports of another host arrive on time
     */
    public record HostState(
            Fleet fleet,
            FreshnessLease freshness,
            AccountLimiter limiter,
            SegmentQuarantine quarantine,
            Predicate<HostHandle> responsive) {}

    /**
     * Identity and region of this host.
     *
     * @param host name of the host
     * @param region region of the host
     */
    public record Location(String host, String region) {}

    /**
     * This host's limits on retries.
     *
     * @param retriesPerRequest retries earned by each first send of a request
     * @param maxSavedRetries maximum number of unused retries kept for each service
     */
    public record RetryLimits(double retriesPerRequest, int maxSavedRetries) {}
}
