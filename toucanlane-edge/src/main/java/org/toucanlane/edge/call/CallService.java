package org.toucanlane.edge.call;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.edge.fleet.CachedPart;
import org.toucanlane.edge.fleet.EndpointHandle;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.fleet.HostHandle;
import org.toucanlane.edge.http.InboundRequest;
import org.toucanlane.edge.http.RequestHandler;
import org.toucanlane.edge.limit.AccountLimiter;
import org.toucanlane.edge.state.Freshness;
import org.toucanlane.edge.telemetry.CallMetrics;
import org.toucanlane.edge.telemetry.DecisionLog;

/** Serves requests of callers and of other hosts. Used on the host's event loop only. */
public final class CallService {

    /** When a caller may come back whose request came to a host that is about to stop: at once, to another host. */
    private static final Duration STOPPING_RETRY = Duration.ofMillis(20);

    private final CallServices services;
    private final CallAdmission admission;
    private boolean closed;

    private CallService(CallServices services, CallAdmission admission) {
        this.services = services;
        this.admission = admission;
    }

    /**
     * Creates the service of one host.
     *
     * @param view what the host knows
     * @param place name and region of the host
     * @param repeats bound on repeats
     * @param metrics counters and histograms
     * @param sent hears which endpoint was sent which parts of a prompt
     */
    public static CallService create(
            EventLoop loop,
            CallDialect dialect,
            View view,
            DecisionLog log,
            CallMetrics metrics,
            Place place,
            RepeatBound repeats,
            BiConsumer<EndpointHandle, List<CachedPart>> sent) {
        Router router = new Router(
                view.fleet(), place.host(), place.region(), view.heard(), RandomGenerator.of("L64X128MixRandom"));
        CallServices services = new CallServices(
                loop,
                dialect,
                router,
                view.limiter(),
                new CallServices.Budgets(repeats.perCall(), repeats.saved()),
                sent,
                new LinkedHashSet<>(),
                log,
                metrics,
                place.host());
        return new CallService(services, new CallAdmission(view, dialect));
    }

    /** Sends requests elsewhere of which nothing has come for too long; to be called several times a second. */
    public void checkSilence() {
        long now = System.nanoTime();
        List.copyOf(services.running()).forEach(call -> call.checkSilence(now));
    }

    /** Turns all later requests away; those that run go on. */
    public void close() {
        closed = true;
    }

    /** Returns the handler of callers' requests. */
    public RequestHandler forCallers() {
        return request -> serve(request, admission::admit, false);
    }

    /** Returns the handler of requests that other hosts pass on. */
    public RequestHandler forHosts() {
        return request -> serve(request, admission::admitHop, true);
    }

    private void serve(InboundRequest request, Admitter admitter, boolean ofHost) {
        Optional<String> id = Optional.empty();
        try {
            CallHead head = admission.read(request.head());
            id = Optional.of(head.id());
            if (closed) {
                throw new CallRefusedException(ErrorKind.NOT_READY, STOPPING_RETRY, "this host is about to stop");
            }
            new Call(services, request, admitter.admit(request.head(), head, request.receivedAt())).start();
        } catch (CallRefusedException e) {
            request.body().release();
            refuse(request, id, e, ofHost);
        }
    }

    private void refuse(InboundRequest request, Optional<String> id, CallRefusedException e, boolean ofHost) {
        ErrorKind kind = e.kind();
        FullHttpResponse response =
                services.dialect().refuse(new Refusal(kind, e.retryAfter(), id, String.valueOf(e.getMessage())));
        if (ofHost) {
            HopHeaders.markRefusal(response.headers(), kind, false);
        }
        request.responder().respond(response);
        services.metrics().refused(kind);
        services.log()
                .decision(
                        "request_" + kind.code(),
                        "request",
                        id.orElse(""),
                        "status",
                        kind.status(),
                        "retry_after_ms",
                        e.retryAfter().toMillis(),
                        "cause",
                        String.valueOf(e.getMessage()));
    }

    /** Admits one request. */
    private interface Admitter {
        AdmittedCall admit(HttpRequest request, CallHead head, long receivedAt) throws CallRefusedException;
    }

    /**
     * What a host knows.
     *
     * @param fleet configuration, endpoints and hosts
     * @param freshness how long it may rely on that
     * @param limiter limits of accounts
     * @param heard whether a host's reports come as they should
     */
    public record View(Fleet fleet, Freshness freshness, AccountLimiter limiter, Predicate<HostHandle> heard) {}

    /**
     * Where this host is.
     *
     * @param host its name
     * @param region its region
     */
    public record Place(String host, String region) {}

    /**
     * This host's part of the bound on repeats.
     *
     * @param perCall repeats that each first send earns
     * @param saved repeats that may be saved up for each service
     */
    public record RepeatBound(double perCall, int saved) {}
}
