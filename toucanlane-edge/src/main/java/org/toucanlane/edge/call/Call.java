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
import org.toucanlane.edge.fleet.EndpointHandle;
import org.toucanlane.edge.fleet.PromptSegment;
import org.toucanlane.edge.fleet.Reservation;
import org.toucanlane.edge.http.InboundRequest;
import org.toucanlane.edge.http.Responder;
import org.toucanlane.policy.placement.EnginePriority;
import org.toucanlane.policy.placement.Placement;
import org.toucanlane.policy.queue.PlaceEstimate;
import org.toucanlane.policy.retry.AttemptTimeouts;
import org.toucanlane.policy.retry.RetryBudget;
import org.toucanlane.policy.retry.RetryPolicy;

/**
 * Handles one request from its admission to the end of its response.
 *
 * <p>Invariants: the caller gets exactly one response, from one attempt at a time; a second attempt beside a silent one is
 * made only if the request may run more than once; a response that says "not run" is sent only if no attempt may have run,
 * and no attempt is started after it. Used on the host's event loop only.
 */
final class Call implements Responder.Listener, AttemptGroup.Listener, WaitingCalls.Waiter {

    /** Retry delay for a refusal without a better estimate; long enough for a few requests to end. */
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(400);

    private static final double NANOS_PER_MILLI = 1e6;

    private final CallContext context;
    private final InboundRequest inbound;
    private final AdmittedCall admitted;
    private final CallLog callLog;
    private final CrashSuspects crashSuspects;
    private final Set<String> triedUpstreams = new HashSet<>();
    private final AttemptGroup attempts;
    private ScheduledFuture<?> deadlineTimer;
    private long lastEvent = -1;
    private int refusals;
    private boolean mayHaveRun;
    private boolean hostMayHaveRun;
    private boolean responseStarted;
    private boolean finished;
    private double estimateMillis;
    private double firstResponseMillis = -1;
    private double longestGapMillis;
    private String lastCause = "";
    private long lastProgressNanos;

    Call(CallContext context, InboundRequest inbound, AdmittedCall admitted) {
        this.context = context;
        this.inbound = inbound;
        this.admitted = admitted;
        this.callLog = new CallLog(context.log(), admitted);
        this.crashSuspects = CrashSuspects.of(inbound, admitted);
        admitted.head().lastEventId().ifPresent(this::resumeAfter);
        this.attempts = new AttemptGroup(lastEvent, new AlternativeLog(context, admitted), this);
    }

    private void resumeAfter(String id) {
        try {
            lastEvent = Long.parseLong(id);
        } catch (NumberFormatException e) {
            callLog.recordResumeIdIgnored(id);
        }
    }

    /** Sends the request for the first time. */
    void start() {
        inbound.responder().setListener(this);
        if (admitted.route().isRetryable()) {
            context.repeatableCalls().add(this);
        }
        long remaining = admitted.deadlineNanos() - System.nanoTime();
        deadlineTimer = context.loop().schedule(this::deadlinePassed, Math.max(0, remaining), TimeUnit.NANOSECONDS);
        context.waitingCalls().sendThoseBefore(admitted, inbound.receivedAt());
        sendToNextUpstream();
    }

    private void sendToNextUpstream() {
        try {
            chooseAndSend(context.router()::choose);
        } catch (CallRefusedException e) {
            boolean waits = !responseStarted
                    && !mayHaveRun
                    && !attempts.isActive()
                    && e instanceof EndpointsBusyException busy
                    && context.waitingCalls().offer(this, admitted, inbound.receivedAt(), busy.estimate());
            if (!waits) {
                onNoUpstream(e);
            }
        }
    }

    @Override
    public Optional<PlaceEstimate> sendIfRoom() {
        if (finished || timeLeft().isZero()) {
            deadlinePassed();
            return Optional.empty();
        }
        try {
            chooseAndSend(context.router()::chooseAgain);
            return Optional.empty();
        } catch (CallRefusedException e) {
            if (e.placeEstimate().isEmpty()) {
                onNoUpstream(e);
            }
            return e.placeEstimate();
        }
    }

    private void chooseAndSend(Router.Choice choice) throws CallRefusedException {
        context.drainCheck().check(admitted, responseStarted || attempts.isActive());
        context.quarantineCheck().checkHeld(crashSuspects.ids());
        Destination destination = choice.choose(admitted, triedUpstreams);
        context.quarantineCheck().check(crashSuspects.ids());
        estimateMillis = destination.estimateMillis();
        context.metrics().recordExpectedQueueTime(admitted.service(), destination.waitMillis());
        if (attempts.size() > 0) {
            context.metrics().recordRetry(admitted.service());
        }
        if (destination instanceof Destination.Local local) {
            send(local);
        } else if (destination instanceof Destination.Remote remote) {
            send(remote);
        }
    }

    private void onNoUpstream(CallRefusedException refusal) {
        if (attempts.isActive()) {
            callLog.recordAlternativeRefused(refusal);
        } else {
            endWithoutAttempt(refusal);
        }
    }

    /** Ends the request because it can't be sent to another upstream. */
    private void endWithoutAttempt(CallRefusedException refusal) {
        if (responseStarted) {
            abortResponse(lastCause);
        } else if (mayHaveRun) {
            refuse(ErrorKind.ENDPOINT_FAILED, Duration.ZERO, lastCause);
        } else {
            refuse(refusal.kind(), refusal.retryAfter(), String.valueOf(refusal.getMessage()));
        }
    }

    private void send(Destination.Local local) {
        EndpointHandle endpoint = local.endpoint();
        Placement placement = local.placement();
        Optional<Prompt> prompt = admitted.head().prompt();
        List<PromptSegment> parts = prompt.map(Prompt::parts).orElse(List.of());
        long neededTokens =
                placement.newTokens() + prompt.map(Prompt::outputTokens).orElse(0L);
        Reservation reservation =
                new Reservation(endpoint, parts, placement.newTokens(), neededTokens, placement.estimateMillis());
        context.router().recordSend(endpoint);
        context.promptSentListener().accept(endpoint, parts);
        if (attempts.size() == 0) {
            context.retryBudgets().forService(admitted.service()).deposit();
        }
        EndpointRequest endpointRequest = new EndpointRequest(
                endpoint.id(),
                timeLeft(),
                admitted.account().map(ServingAccount::name),
                lastEventId(),
                prompt.isPresent()
                        ? OptionalInt.of(EnginePriority.of(admitted.rank(), lastEvent >= 0))
                        : OptionalInt.empty());
        HttpHeaders headers = context.dialect().endpointHeaders(inbound.head(), endpointRequest);
        triedUpstreams.add(endpoint.id());
        startAttempt(
                new EndpointUpstream(
                        endpoint,
                        reservation,
                        context.crashDetector().watch(endpoint, crashSuspects.ids()),
                        context.log()),
                headers);
    }

    private void send(Destination.Remote remote) {
        HttpHeaders headers = context.dialect().hopHeaders(inbound.head());
        HopHeaders.write(
                headers,
                new HopHeaders.Hop(
                        context.hostName(),
                        admitted.account().map(account -> account.name()),
                        timeLeft(),
                        endpointsLeft(),
                        admitted.configurationVersion(),
                        lastEventId()));
        triedUpstreams.add(remote.host().entry().name());
        startAttempt(new HostUpstream(remote.host()), headers);
    }

    private Optional<String> lastEventId() {
        return lastEvent < 0 ? Optional.empty() : Optional.of(Long.toString(lastEvent));
    }

    /** Returns the number of further endpoints that may run the request, given the attempts that run or may have run. */
    private int endpointsLeft() {
        return hostMayHaveRun ? 0 : admitted.endpointsLeft() - (attempts.size() - refusals);
    }

    private Duration timeLeft() {
        return Duration.ofNanos(Math.max(0, admitted.deadlineNanos() - System.nanoTime()));
    }

    private void startAttempt(Upstream upstream, HttpHeaders headers) {
        if (!attempts.isActive()) {
            lastProgressNanos = System.nanoTime();
        }
        Attempt attempt = attempts.add(listener ->
                new Attempt(context.dialect(), admitted, upstream, lastEvent, context.responseBuffers(), listener));
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
        upstream.send(request, attempt);
    }

    @Override
    public void onEvents(HttpResponse head, ByteBuf events, long lastId) {
        long now = System.nanoTime();
        double gapMillis = (now - lastProgressNanos) / NANOS_PER_MILLI;
        if (lastId > lastEvent) {
            // Comments and other events without an id are no progress.
            lastProgressNanos = now;
        }
        lastEvent = lastId;
        if (responseStarted) {
            longestGapMillis = Math.max(longestGapMillis, gapMillis);
            context.metrics().recordStreamGap(admitted.route().name(), gapMillis);
            inbound.responder().send(events);
        } else {
            responseStarted = true;
            recordFirstResponse();
            HttpResponse response = new DefaultHttpResponse(
                    HttpVersion.HTTP_1_1, head.status(), context.dialect().responseHeaders(head));
            HopHeaders.strip(response.headers());
            response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
            inbound.responder().begin(response, events);
        }
        if (!inbound.responder().isWritable()) {
            attempts.setAutoRead(false);
        }
    }

    @Override
    public void onStreamComplete() {
        if (attempts.size() == 1) {
            Optional<EndpointHandle> endpoint = context.router().endpoint(attempts.upstreamName());
            admitted.route()
                    .maxEventGap()
                    .ifPresent(target -> endpoint.ifPresent(
                            known -> context.router().recordPause(known, longestGapMillis / target.toMillis())));
        }
        inbound.responder().finish();
        finish("served", HttpResponseStatus.OK.code());
    }

    @Override
    public void onResponse(HttpResponse head, EndpointResponse endpointResponse, ByteBuf body) {
        mayHaveRun = true;
        hostMayHaveRun |= attempts.isViaHost();
        if (endpointResponse.isServerError() && shouldRetry(RetryPolicy.FailureKind.MAY_HAVE_RUN)) {
            body.release();
            lastCause = "endpoint returned HTTP status " + endpointResponse.status();
            sendToNextUpstream();
            return;
        }
        if (responseStarted) {
            body.release();
            abortResponse(
                    "endpoint returned HTTP status " + endpointResponse.status() + " when a stream was to be resumed");
            return;
        }
        if (endpointResponse.impliesNotExecuted()) {
            body.release();
            refuse(
                    ErrorKind.ENDPOINT_FAILED,
                    Duration.ZERO,
                    "endpoint returned HTTP status " + endpointResponse.status());
            return;
        }
        recordFirstResponse();
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                head.status(),
                body,
                context.dialect().responseHeaders(head),
                EmptyHttpHeaders.INSTANCE);
        HopHeaders.strip(response.headers());
        inbound.responder().respond(response);
        finish("served", endpointResponse.status());
    }

    private void recordFirstResponse() {
        firstResponseMillis = elapsedMillis();
        context.metrics().recordTimeToFirstByte(admitted.route().name(), admitted.accountName(), firstResponseMillis);
        if (attempts.size() == 1) {
            context.metrics().recordEstimateRatio(admitted.service(), estimateMillis, firstResponseMillis);
        }
    }

    @Override
    public void onRefused(CallRefusedException refusal) {
        endWithoutAttempt(refusal);
    }

    @Override
    public void onAttemptFailed(
            Upstream upstream, RetryPolicy.FailureKind kind, String cause, boolean othersInProgress) {
        lastCause = cause;
        callLog.recordAttemptFailed(upstream, kind, crashSuspects, cause);
        boolean notRun = kind != RetryPolicy.FailureKind.MAY_HAVE_RUN;
        mayHaveRun |= !notRun;
        hostMayHaveRun |= !notRun && upstream.isHost();
        if (notRun && upstream.isHost()) {
            context.router().recordRefusal(upstream.name(), admitted.service());
        }
        boolean retry = !othersInProgress && shouldRetry(kind);
        refusals += notRun ? 1 : 0;
        if (othersInProgress) {
            return;
        }
        if (retry) {
            sendToNextUpstream();
        } else if (responseStarted) {
            abortResponse(cause);
        } else if (mayHaveRun) {
            refuse(ErrorKind.ENDPOINT_FAILED, Duration.ZERO, cause);
        } else {
            refuse(ErrorKind.OVERLOADED, DEFAULT_RETRY_AFTER, cause);
        }
    }

    private boolean shouldRetry(RetryPolicy.FailureKind kind) {
        return (kind != RetryPolicy.FailureKind.MAY_HAVE_RUN
                        || context.drainCheck().allows(admitted, responseStarted))
                && RetryPolicy.shouldRetry(failure(kind), context.retryBudgets().forService(admitted.service()));
    }

    private RetryPolicy.Failure failure(RetryPolicy.FailureKind kind) {
        return new RetryPolicy.Failure(kind, admitted.route().isRetryable(), endpointsLeft(), refusals, timeLeft());
    }

    /**
     * Sends the request to an alternative upstream if no data has arrived for too long, a retry is allowed, its prompt isn't
     * held back and another upstream can take it now. The silent attempt goes on until the alternative begins to answer.
     */
    void sendAlternativeIfStalled(long now) {
        if (!attempts.hasNoAlternative()) {
            return;
        }
        boolean viaHost = attempts.isViaHost();
        Duration stallTimeout = responseStarted
                ? AttemptTimeouts.forNextEvent(admitted.route().maxEventGap(), viaHost)
                : AttemptTimeouts.forFirstResponse(estimateMillis, viaHost);
        boolean silent = now - lastProgressNanos >= stallTimeout.toNanos();
        RetryBudget budget = context.retryBudgets().forService(admitted.service());
        if (silent
                && inbound.responder().isWritable()
                && !viaHost
                && RetryPolicy.allowsAlternative(failure(RetryPolicy.FailureKind.MAY_HAVE_RUN))
                && budget.isAvailable()
                && !context.quarantineCheck().isHeld(crashSuspects.ids())
                && context.router().hasDestination(admitted, triedUpstreams)
                && budget.tryWithdraw()) {
            sendToNextUpstream();
        }
    }

    private void deadlinePassed() {
        if (finished) {
            return;
        }
        end("request deadline expired", ErrorKind.DEADLINE_TOO_CLOSE);
    }

    @Override
    public void onServerClosing() {
        end("host shut down", ErrorKind.LEAVING);
    }

    /**
     * Ends the request before its response is complete.
     *
     * @param reason start of the logged cause
     * @param notSent the kind of failure if no attempt has been made
     */
    private void end(String reason, ErrorKind notSent) {
        boolean sent = attempts.isActive() || mayHaveRun;
        attempts.cancel();
        if (responseStarted) {
            abortResponse(reason + " during the response");
        } else if (sent) {
            refuse(ErrorKind.TIMED_OUT, Duration.ZERO, reason + " before the response");
        } else {
            refuse(notSent, DEFAULT_RETRY_AFTER, reason + " with no attempt in progress");
        }
    }

    private void abortResponse(String cause) {
        lastCause = cause;
        inbound.responder().abort();
        finish("broken_off", 0);
    }

    private void refuse(ErrorKind kind, Duration retryAfter, String detail) {
        lastCause = detail;
        FullHttpResponse response = context.dialect()
                .refusalResponse(new Refusal(
                        kind, retryAfter, Optional.of(admitted.head().id()), detail));
        if (admitted.forwardedBy().isPresent()) {
            HopHeaders.markRefusal(response.headers(), kind, attempts.size() > 0);
        }
        inbound.responder().respond(response);
        context.metrics().recordRefusal(kind);
        if (kind.executionStatus() == ExecutionStatus.NOT_RUN) {
            admitted.account().ifPresent(account -> context.limiter().refund(account, admitted.chargedTokens()));
        }
        finish(kind.code(), kind.status());
    }

    @Override
    public void onCallerDisconnected() {
        attempts.cancel();
        finish("caller_gone", 0);
    }

    @Override
    public void onWritabilityChanged(boolean writable) {
        attempts.setAutoRead(writable);
    }

    private double elapsedMillis() {
        return (System.nanoTime() - inbound.receivedAt()) / NANOS_PER_MILLI;
    }

    private void finish(String outcome, int status) {
        if (finished) {
            return;
        }
        finished = true;
        context.repeatableCalls().remove(this);
        context.waitingCalls().onEnded(this, admitted.service(), attempts.size() > 0);
        if (status == HttpResponseStatus.OK.code()) {
            context.drainCheck().recordResponse(admitted, elapsedMillis());
            context.metrics().recordTotalTime(admitted.route().name(), admitted.accountName(), elapsedMillis());
        }
        deadlineTimer.cancel(false);
        inbound.body().release();
        attempts.close();
        callLog.recordEnd(
                outcome,
                status,
                attempts,
                "estimate_ms",
                estimateMillis,
                "first_ms",
                firstResponseMillis,
                "longest_gap_ms",
                longestGapMillis,
                "total_ms",
                elapsedMillis(),
                "after_stop_ms",
                context.gracePeriod().millisUntil(inbound.receivedAt()),
                "cause",
                lastCause);
    }
}
