package org.toucanlane.edge.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.toucanlane.policy.retry.RetryPolicy;

/**
 * The attempts of one request: the current one, and possibly an alternative that was sent to another upstream because
 * the current one is silent.
 *
 * <p>The first of the two that sends new events or a usable response goes on, and the other one is cancelled at that
 * moment. An attempt whose upstream is merely silent is never given up before another upstream has begun to answer, since
 * the other one may refuse the request or fail as well.
 *
 * <p>Invariants: at most two attempts are in progress; only the current one is visible to the listener; an alternative
 * that fails changes nothing for the current attempt. Used on the host's event loop only.
 */
final class AttemptGroup {

    private final Listener listener;
    private final AlternativeLog alternativeLog;
    private final List<Attempt> attempts = new ArrayList<>();
    private Attempt current;
    private Attempt alternative;
    private Upstream latest;
    private boolean streamStarted;
    private long lastEvent;
    private long lastProgressNanos;

    /**
     * Creates a group without attempts.
     *
     * @param lastEvent id of the last event that the caller has received, or -1
     */
    AttemptGroup(long lastEvent, AlternativeLog alternativeLog, Listener listener) {
        this.lastEvent = lastEvent;
        this.alternativeLog = alternativeLog;
        this.listener = listener;
    }

    /**
     * Adds an attempt that is about to be sent: the current one, or an alternative to it if it is still in progress.
     *
     * @param factory creates the attempt for its listener
     */
    Attempt add(Function<Attempt.Listener, Attempt> factory) {
        Member member = new Member();
        Attempt attempt = factory.apply(member);
        member.attempt = attempt;
        attempts.add(attempt);
        if (current == null) {
            current = attempt;
            latest = attempt.upstream();
            lastProgressNanos = System.nanoTime();
        } else {
            alternative = attempt;
            alternativeLog.recordSent(current.upstream(), attempt.upstream(), lastProgressNanos);
        }
        return attempt;
    }

    /** Returns the number of attempts so far. */
    int size() {
        return attempts.size();
    }

    /** Returns whether an attempt is in progress. */
    boolean isActive() {
        return current != null;
    }

    /** Returns whether exactly one attempt is in progress, and may thus get an alternative. */
    boolean hasNoAlternative() {
        return current != null && alternative == null;
    }

    /** Returns whether the newest current attempt was sent to another host. */
    boolean isViaHost() {
        return latest != null && latest.isHost();
    }

    /** Returns the name of the upstream of the newest current attempt, or an empty string if there was none. */
    String upstreamName() {
        return latest == null ? "" : latest.name();
    }

    /** Pauses or resumes reading of the current response. */
    void setAutoRead(boolean reading) {
        if (current != null) {
            current.setAutoRead(reading);
        }
    }

    /** Cancels the attempts in progress without notifying the listener. */
    void cancel() {
        cancelAlternative(AlternativeLog.Result.CANCELLED);
        if (current != null) {
            current.cancel();
            current = null;
        }
    }

    private void cancelAlternative(AlternativeLog.Result result) {
        if (alternative != null) {
            alternativeLog.recordEnd(result);
            alternative.cancel();
            alternative = null;
        }
    }

    /** Cancels the attempts in progress, and releases the memory of all. */
    void close() {
        cancel();
        attempts.forEach(Attempt::release);
    }

    /** Cancels the attempt other than {@code winner}, which goes on as the current one. */
    private void proceedWith(Attempt winner) {
        if (winner == alternative) {
            alternativeLog.recordEnd(AlternativeLog.Result.ALTERNATIVE_ANSWERED);
            current.abandonStalled();
            replaceCurrent();
        } else {
            cancelAlternative(AlternativeLog.Result.SILENT_ANSWERED);
        }
    }

    private void replaceCurrent() {
        current = alternative;
        alternative = null;
        latest = current.upstream();
    }

    /** Removes a failed attempt and returns whether another one goes on. */
    private boolean remove(Attempt failed) {
        if (failed == alternative) {
            alternativeLog.recordEnd(AlternativeLog.Result.ALTERNATIVE_FAILED);
            alternative = null;
            return true;
        }
        if (alternative != null) {
            alternativeLog.recordEnd(AlternativeLog.Result.SILENT_FAILED);
            replaceCurrent();
            return true;
        }
        current = null;
        return false;
    }

    /** Receives what one attempt reports. */
    private final class Member implements Attempt.Listener {

        private Attempt attempt;

        @Override
        public void onEvents(HttpResponse head, ByteBuf events, long lastId) {
            if (lastId > lastEvent) {
                lastEvent = lastId;
                lastProgressNanos = System.nanoTime();
                proceedWith(attempt);
            } else if (attempt == alternative) {
                // Comments and other events without an id are no answer yet.
                events.release();
                return;
            }
            streamStarted = true;
            listener.onEvents(head, events, lastId);
        }

        @Override
        public void onStreamComplete() {
            proceedWith(attempt);
            listener.onStreamComplete();
        }

        @Override
        public void onResponse(HttpResponse head, EndpointResponse response, ByteBuf body) {
            boolean usable = !streamStarted && !response.isServerError() && !response.impliesNotExecuted();
            if (!usable && alternative != null) {
                body.release();
                fail(RetryPolicy.FailureKind.MAY_HAVE_RUN, "endpoint returned HTTP status " + response.status());
                return;
            }
            proceedWith(attempt);
            current = null;
            listener.onResponse(head, response, body);
        }

        @Override
        public void onRefused(CallRefusedException refusal) {
            if (alternative == null) {
                current = null;
                listener.onRefused(refusal);
            } else {
                fail(RetryPolicy.FailureKind.NOT_SENT, String.valueOf(refusal.getMessage()));
            }
        }

        @Override
        public void onAttemptFailed(RetryPolicy.FailureKind kind, String cause) {
            fail(kind, cause);
        }

        private void fail(RetryPolicy.FailureKind kind, String cause) {
            listener.onAttemptFailed(attempt.upstream(), kind, cause, remove(attempt));
        }
    }

    /** Receives the events and the outcome of the attempts. */
    interface Listener {

        /** Called with complete events of a stream. The listener releases {@code events}. */
        void onEvents(HttpResponse head, ByteBuf events, long lastId);

        /** Called when the stream has ended normally. */
        void onStreamComplete();

        /** Called with a complete response that isn't a stream. The listener releases {@code body}. */
        void onResponse(HttpResponse head, EndpointResponse response, ByteBuf body);

        /** Called when another host has refused the request for a reason that applies to all hosts. */
        void onRefused(CallRefusedException refusal);

        /**
         * Called when an attempt has failed.
         *
         * @param othersInProgress whether another attempt goes on, so that no decision about the request is needed
         */
        void onAttemptFailed(Upstream upstream, RetryPolicy.FailureKind kind, String cause, boolean othersInProgress);
    }
}
