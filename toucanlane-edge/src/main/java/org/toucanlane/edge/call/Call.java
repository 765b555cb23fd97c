package org.toucanlane.edge.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.outcome.ExecutionStatus;
import org.toucanlane.domain.serving.ServingAccount;
import org.toucanlane.edge.fleet.CachedPart;
import org.toucanlane.edge.fleet.EndpointHandle;
import org.toucanlane.edge.fleet.Reservation;
import org.toucanlane.edge.http.InboundRequest;
import org.toucanlane.edge.http.Responder;
import org.toucanlane.policy.placement.EnginePriority;
import org.toucanlane.policy.placement.Placement;
import org.toucanlane.policy.retry.AttemptTimeouts;
import org.toucanlane.policy.retry.RetryPolicy;

/**
 * One request from its admission to its last answer.
 *
 * <p>Invariants: at most one attempt runs at a time; the caller gets exactly one answer; an answer that says "not run"
 * is given only if no attempt may have run, and none runs later. Used on the host's event loop only.
 */
final class Call implements Responder.Listener, Attempt.Listener {

    /** When to come back after a refusal for which nothing better is known: a few requests end in that time. */
    private static final Duration DEFAULT_RETRY = Duration.ofMillis(400);

    private static final double NANOS_PER_MILLI = 1e6;

    private final CallServices services;
    private final InboundRequest inbound;
    private final AdmittedCall admitted;
    private final Set<String> tried = new HashSet<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private Attempt current;
    private ScheduledFuture<?> deadline;
    private long lastEvent = -1;
    private int endpointsLeft;
    private int refusals;
    private boolean mayHaveRun;
    private boolean begun;
    private boolean ended;
    private double estimateMillis;
    private double firstMillis = -1;
    private String lastCause = "";
    private long lastProgress;

    Call(CallServices services, InboundRequest inbound, AdmittedCall admitted) {
        this.services = services;
        this.inbound = inbound;
        this.admitted = admitted;
        this.endpointsLeft = admitted.endpointsLeft();
        admitted.head().resumeAfter().ifPresent(this::resumeAfter);
    }

    private void resumeAfter(String id) {
        try {
            lastEvent = Long.parseLong(id);
        } catch (NumberFormatException e) {
            services.log()
                    .decision("resume_id_ignored", "request", admitted.head().id(), "id", id);
        }
    }

    /** Sends the request for the first time. */
    void start() {
        inbound.responder().listen(this);
        if (admitted.route().isRetryable()) {
            services.running().add(this);
        }
        long left = admitted.deadline() - System.nanoTime();
        deadline = services.loop().schedule(this::deadlinePassed, Math.max(0, left), TimeUnit.NANOSECONDS);
        sendNext();
    }

    private void sendNext() {
        try {
            Destination next = services.router().choose(admitted, tried);
            estimateMillis = next.estimateMillis();
            services.metrics().queued(admitted.service(), next.waitMillis());
            if (!attempts.isEmpty()) {
                services.metrics().repeated(admitted.service());
            }
            if (next instanceof Destination.Local local) {
                send(local);
            } else if (next instanceof Destination.Remote remote) {
                send(remote);
            }
        } catch (CallRefusedException e) {
            if (begun) {
                breakOff(lastCause);
            } else if (mayHaveRun) {
                giveUp(ErrorKind.ENDPOINT_FAILED, Duration.ZERO, lastCause);
            } else {
                giveUp(e.kind(), e.retryAfter(), String.valueOf(e.getMessage()));
            }
        }
    }

    private void send(Destination.Local local) {
        EndpointHandle endpoint = local.endpoint();
        Placement placement = local.placement();
        Optional<Prompt> prompt = admitted.head().prompt();
        List<CachedPart> parts = prompt.map(Prompt::parts).orElse(List.of());
        long needed = placement.newTokens() + prompt.map(Prompt::outputTokens).orElse(0L);
        Reservation reservation =
                new Reservation(endpoint, parts, placement.newTokens(), needed, placement.estimateMillis());
        services.router().noteSend(endpoint);
        services.sent().accept(endpoint, parts);
        if (attempts.isEmpty()) {
            services.budgets().of(admitted.service()).deposit();
        }
        EndpointSend send = new EndpointSend(
                endpoint.id(),
                timeLeft(),
                admitted.account().map(ServingAccount::name),
                lastEventId(),
                prompt.isPresent()
                        ? OptionalInt.of(EnginePriority.of(admitted.rank(), lastEvent >= 0))
                        : OptionalInt.empty());
        HttpHeaders headers = services.dialect().endpointHeaders(inbound.head(), send);
        tried.add(endpoint.id());
        run(new EndpointUpstream(endpoint, reservation), headers);
    }

    private void send(Destination.Remote remote) {
        HttpHeaders headers = services.dialect().hopHeaders(inbound.head());
        HopHeaders.write(
                headers,
                new HopHeaders.Hop(
                        services.self(),
                        admitted.account().map(holder -> holder.name()),
                        timeLeft(),
                        endpointsLeft,
                        admitted.version(),
                        lastEventId()));
        tried.add(remote.host().entry().name());
        run(new HostUpstream(remote.host()), headers);
    }

    private Optional<String> lastEventId() {
        return lastEvent < 0 ? Optional.empty() : Optional.of(Long.toString(lastEvent));
    }

    private Duration timeLeft() {
        return Duration.ofNanos(Math.max(0, admitted.deadline() - System.nanoTime()));
    }

    private void run(Upstream upstream, HttpHeaders headers) {
        Attempt attempt = new Attempt(services.dialect(), admitted, upstream, lastEvent, this);
        attempts.add(attempt);
        current = attempt;
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                inbound.head().method(),
                inbound.head().uri(),
                inbound.body().retainedDuplicate(),
                headers,
                EmptyHttpHeaders.INSTANCE);
        if (inbound.body().isReadable() || inbound.head().headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, inbound.body().readableBytes());
        }
        lastProgress = System.nanoTime();
        upstream.send(request, attempt);
    }

    @Override
    public void events(HttpResponse head, ByteBuf whole, long lastId) {
        lastEvent = lastId;
        long now = System.nanoTime();
        double gapMillis = (now - lastProgress) / NANOS_PER_MILLI;
        lastProgress = now;
        if (begun) {
            services.metrics().gap(admitted.route().name(), gapMillis);
            inbound.responder().send(whole);
        } else {
            begun = true;
            noteFirst();
            HttpResponse response = new DefaultHttpResponse(
                    HttpVersion.HTTP_1_1, head.status(), services.dialect().answerHeaders(head));
            HopHeaders.strip(response.headers());
            response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
            inbound.responder().begin(response, whole);
        }
        if (!inbound.responder().isWritable() && current != null) {
            current.setReading(false);
        }
    }

    @Override
    public void complete() {
        inbound.responder().finish();
        end("served", HttpResponseStatus.OK.code());
    }

    @Override
    public void answered(HttpResponse head, EndpointReply reply, ByteBuf body) {
        mayHaveRun = true;
        boolean failed = reply.status() >= 500;
        if (failed && repeats(RetryPolicy.FailureKind.MAY_HAVE_RUN)) {
            body.release();
            lastCause = "the endpoint answered " + reply.status();
            sendNext();
            return;
        }
        if (begun) {
            body.release();
            breakOff("the endpoint answered " + reply.status() + " where a stream was to go on");
            return;
        }
        if (promisesNotRun(reply.status())) {
            body.release();
            giveUp(ErrorKind.ENDPOINT_FAILED, Duration.ZERO, "the endpoint answered " + reply.status());
            return;
        }
        noteFirst();
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                head.status(),
                body,
                services.dialect().answerHeaders(head),
                EmptyHttpHeaders.INSTANCE);
        HopHeaders.strip(response.headers());
        inbound.responder().respond(response);
        end("served", reply.status());
    }

    private void noteFirst() {
        firstMillis = millisSoFar();
        services.metrics().first(admitted.route().name(), accountName(), firstMillis);
        if (attempts.size() == 1) {
            services.metrics().estimated(admitted.service(), estimateMillis, firstMillis);
        }
    }

    private String accountName() {
        return admitted.account().map(ServingAccount::name).orElse("");
    }

    /** Returns whether a status tells callers that the request was not run; only a host may say so for an endpoint. */
    private static boolean promisesNotRun(int status) {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    @Override
    public void failed(RetryPolicy.FailureKind kind, String cause) {
        lastCause = cause;
        mayHaveRun |= kind == RetryPolicy.FailureKind.MAY_HAVE_RUN;
        services.log()
                .decision(
                        "attempt_failed",
                        "request",
                        admitted.head().id(),
                        "upstream",
                        current == null ? "" : current.upstream().name(),
                        "kind",
                        kind,
                        "cause",
                        cause);
        if (repeats(kind)) {
            sendNext();
        } else if (begun) {
            breakOff(cause);
        } else if (mayHaveRun) {
            giveUp(ErrorKind.ENDPOINT_FAILED, Duration.ZERO, cause);
        } else {
            giveUp(ErrorKind.OVERLOADED, DEFAULT_RETRY, cause);
        }
    }

    private boolean repeats(RetryPolicy.FailureKind kind) {
        boolean host = current != null && current.upstream().isHost();
        if (host && kind != RetryPolicy.FailureKind.MAY_HAVE_RUN) {
            services.router().noteRefusal(current.upstream().name(), admitted.service());
        }
        if (kind == RetryPolicy.FailureKind.MAY_HAVE_RUN) {
            endpointsLeft = host ? 0 : endpointsLeft - 1;
        }
        RetryPolicy.Failure failure =
                new RetryPolicy.Failure(kind, admitted.route().isRetryable(), endpointsLeft, refusals, timeLeft());
        if (kind != RetryPolicy.FailureKind.MAY_HAVE_RUN) {
            refusals++;
        }
        current = null;
        return RetryPolicy.shouldRetry(failure, services.budgets().of(admitted.service()));
    }

    /** Gives the attempt up and sends the request elsewhere if nothing has come for too long and that is allowed. */
    void checkSilence(long now) {
        if (current == null) {
            return;
        }
        boolean host = current.upstream().isHost();
        Duration patience = begun
                ? AttemptTimeouts.forNextEvent(admitted.route().maxEventGap(), host)
                : AttemptTimeouts.forFirstResponse(estimateMillis, host);
        int left = host ? 0 : endpointsLeft - 1;
        boolean waits =
                now - lastProgress < patience.toNanos() || !inbound.responder().isWritable();
        if (!waits && left > 0 && services.budgets().of(admitted.service()).isAvailable()) {
            current.giveUpSilent();
        }
    }

    private void deadlinePassed() {
        if (ended) {
            return;
        }
        boolean sent = current != null || mayHaveRun;
        cancelCurrent();
        if (begun) {
            breakOff("the deadline has passed");
        } else if (sent) {
            giveUp(ErrorKind.TIMED_OUT, Duration.ZERO, "the deadline has passed");
        } else {
            giveUp(ErrorKind.DEADLINE_TOO_CLOSE, DEFAULT_RETRY, "the deadline has passed");
        }
    }

    private void cancelCurrent() {
        if (current != null) {
            current.cancel();
            current = null;
        }
    }

    private void breakOff(String cause) {
        lastCause = cause;
        inbound.responder().abort();
        end("broken_off", 0);
    }

    private void giveUp(ErrorKind kind, Duration retryAfter, String detail) {
        lastCause = detail;
        FullHttpResponse response = services.dialect()
                .refuse(new Refusal(
                        kind, retryAfter, Optional.of(admitted.head().id()), detail));
        if (admitted.fromHost().isPresent()) {
            HopHeaders.markRefusal(response.headers(), kind, !attempts.isEmpty());
        }
        inbound.responder().respond(response);
        services.metrics().refused(kind);
        if (kind.executionStatus() == ExecutionStatus.NOT_RUN) {
            admitted.account().ifPresent(account -> services.limiter().refund(account, admitted.charged()));
        }
        end(kind.code(), kind.status());
    }

    @Override
    public void callerGone() {
        cancelCurrent();
        end("caller_gone", 0);
    }

    @Override
    public void writabilityChanged(boolean writable) {
        if (current != null) {
            current.setReading(writable);
        }
    }

    private double millisSoFar() {
        return (System.nanoTime() - inbound.receivedAt()) / NANOS_PER_MILLI;
    }

    private void end(String outcome, int status) {
        if (ended) {
            return;
        }
        ended = true;
        services.running().remove(this);
        if (status == HttpResponseStatus.OK.code()) {
            services.metrics().whole(admitted.route().name(), accountName(), millisSoFar());
        }
        deadline.cancel(false);
        inbound.body().release();
        String upstream = attempts.isEmpty()
                ? ""
                : attempts.get(attempts.size() - 1).upstream().name();
        attempts.forEach(Attempt::release);
        services.log()
                .decision(
                        "request_" + outcome,
                        "request",
                        admitted.head().id(),
                        "route",
                        admitted.route().name(),
                        "account",
                        accountName(),
                        "from",
                        admitted.fromHost().orElse(""),
                        "version",
                        admitted.version(),
                        "status",
                        status,
                        "attempts",
                        attempts.size(),
                        "upstream",
                        upstream,
                        "estimate_ms",
                        estimateMillis,
                        "first_ms",
                        firstMillis,
                        "total_ms",
                        millisSoFar(),
                        "cause",
                        lastCause);
    }
}
