package org.toucanlane.edge.call;

import com.google.common.base.Preconditions;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.toucanlane.edge.fleet.EndpointHandle;
import org.toucanlane.edge.telemetry.DecisionLog;
import org.toucanlane.policy.quarantine.SegmentQuarantine;

/**
 * Distinguishes crashes of endpoints from failures of single connections, and names the requests that may have caused a
 * crash.
 *
 * <p>An endpoint that crashes loses all its connections at once. Broken attempts are gathered for a short time after the
 * first one, and are a crash unless a connection that was open before them still is, or the endpoint accepts one now and
 * keeps it open. An answer that ends with its connection is gathered like a broken attempt, since a crash may have cut it
 * off. Attempts at an endpoint that was draining by then are no crash, since its exit is planned. Invariant:
 * each broken attempt is part of at most one crash. Not thread-safe: confined to the host's event loop.
 */
final class CrashDetector {

    /** Half of the time for which broken attempts of an endpoint are gathered. */
    private static final Duration HALF_GATHERING_TIME = Duration.ofMillis(50);

    /** Half of the time for which an endpoint must keep a connection open to show that it runs. */
    private static final Duration HALF_CONFIRMATION_TIME = Duration.ofMillis(25);

    /** Longest pause of an answer that counts in full, since a longer one may be a stall of this host. */
    private static final long MAX_COUNTED_PAUSE_NANOS = Duration.ofMillis(100).toNanos();

    private final EventLoop loop;
    private final DecisionLog log;
    private final ConnectionCheck connectionCheck;
    private final CrashListener crashListener;
    private final SurvivalListener survivalListener;
    private final Map<EndpointHandle, BrokenAttempts> gathering = new HashMap<>();

    CrashDetector(
            EventLoop loop,
            DecisionLog log,
            ConnectionCheck connectionCheck,
            CrashListener crashListener,
            SurvivalListener survivalListener) {
        this.loop = Preconditions.checkNotNull(loop, "loop");
        this.log = Preconditions.checkNotNull(log, "log");
        this.connectionCheck = Preconditions.checkNotNull(connectionCheck, "connectionCheck");
        this.crashListener = Preconditions.checkNotNull(crashListener, "crashListener");
        this.survivalListener = Preconditions.checkNotNull(survivalListener, "survivalListener");
    }

    /**
     * Watches an attempt at {@code endpoint}.
     *
     * @param segments ids of the prompt segments that other requests may share, and the fingerprint of the request
     */
    Watch watch(EndpointHandle endpoint, List<String> segments) {
        return new Watch(endpoint, segments);
    }

    private BrokenAttempts startGathering(EndpointHandle endpoint, long now) {
        schedule(() -> judge(endpoint), HALF_GATHERING_TIME);
        return new BrokenAttempts(now, endpoint.isDraining());
    }

    /** Runs {@code step} after twice {@code halfDelay}. */
    private void schedule(Runnable step, Duration halfDelay) {
        // The second half starts on the loop only after the first, so connections that were closed while the loop
        // stalled have been read by then.
        long millis = halfDelay.toMillis();
        loop.schedule(() -> loop.schedule(step, millis, TimeUnit.MILLISECONDS), millis, TimeUnit.MILLISECONDS);
    }

    private void judge(EndpointHandle endpoint) {
        BrokenAttempts broken = gathering.remove(endpoint);
        if (broken.exitPlanned || connectionCheck.hasConnectionOpenedBefore(endpoint, broken.firstAt)) {
            return;
        }
        connectionCheck.openIfNone(endpoint, open -> {
            if (open) {
                schedule(() -> confirm(endpoint, broken), HALF_CONFIRMATION_TIME);
            } else {
                reportCrash(endpoint, broken);
            }
        });
    }

    /** Reports a crash unless a connection is open still. */
    private void confirm(EndpointHandle endpoint, BrokenAttempts broken) {
        if (!connectionCheck.hasOpenConnection(endpoint)) {
            reportCrash(endpoint, broken);
        }
    }

    private void reportCrash(EndpointHandle endpoint, BrokenAttempts broken) {
        if (broken.count == 0 && endpoint.isDraining()) {
            // The answers have ended normally as far as is known, and a closed pool opens no connection.
            return;
        }
        List<List<String>> suspects = broken.suspects();
        log.stateChange(
                "endpoint_crashed",
                "endpoint",
                endpoint.id(),
                "broken_attempts",
                broken.count,
                "suspect_count",
                suspects.size(),
                "suspects",
                suspects);
        if (!suspects.isEmpty()) {
            crashListener.onCrash(endpoint.tag(), suspects, broken.firstAt);
        }
    }

    /** Broken attempts at one endpoint that have not been judged yet. */
    private static final class BrokenAttempts {

        private final long firstAt;
        private final boolean exitPlanned;
        private final Set<List<String>> answering = new LinkedHashSet<>();
        private final Set<List<String>> waiting = new LinkedHashSet<>();
        private int count;

        private BrokenAttempts(long firstAt, boolean exitPlanned) {
            this.firstAt = firstAt;
            this.exitPlanned = exitPlanned;
        }

        /** Returns the suspects, those whose answer had begun first. */
        private List<List<String>> suspects() {
            return Stream.of(answering, waiting).flatMap(Set::stream).distinct().toList();
        }
    }

    /** Watches one attempt. Its methods take the time at which they are called. */
    final class Watch {

        private final EndpointHandle endpoint;
        private final List<String> segments;
        private OptionalLong lastAnswer = OptionalLong.empty();
        private long answerNanos;
        private boolean survived;

        private Watch(EndpointHandle endpoint, List<String> segments) {
            this.endpoint = endpoint;
            this.segments = List.copyOf(segments);
        }

        /** Records that a part of the answer has arrived. */
        void recordAnswer(long now) {
            answerNanos += Math.min(now - lastAnswer.orElse(now), MAX_COUNTED_PAUSE_NANOS);
            lastAnswer = OptionalLong.of(now);
            if (answerNanos >= SegmentQuarantine.SURVIVAL_TIME.toNanos()) {
                recordSurvival(now);
            }
        }

        /** Records that the answer is complete. */
        void recordCompleteAnswer(long now) {
            recordSurvival(now);
        }

        private void recordSurvival(long now) {
            if (!survived && !segments.isEmpty()) {
                survivalListener.onSurvival(segments, now);
            }
            survived = true;
        }

        /**
         * Records that the answer has ended with its connection. It is a suspect if the endpoint turns out to have
         * crashed then, unless it went on for long enough.
         */
        void recordEndWithConnection(long now) {
            if (!survived && !segments.isEmpty()) {
                gathering
                        .computeIfAbsent(endpoint, key -> startGathering(key, now))
                        .answering
                        .add(segments);
            }
        }

        /**
         * Records that the endpoint has closed or reset the connection before the answer was complete.
         *
         * @param answering whether the head of the answer had arrived
         */
        void recordConnectionLost(boolean answering, long now) {
            BrokenAttempts broken = gathering.computeIfAbsent(endpoint, key -> startGathering(key, now));
            broken.count++;
            if (!survived && !segments.isEmpty()) {
                (answering ? broken.answering : broken.waiting).add(segments);
            }
        }
    }

    /** Tests the connections to endpoints. */
    interface ConnectionCheck {

        /** Returns whether a connection that was established before {@code time} is still open. */
        boolean hasConnectionOpenedBefore(EndpointHandle endpoint, long time);

        /** Returns whether any connection is open. */
        boolean hasOpenConnection(EndpointHandle endpoint);

        /** Opens a connection unless there is an open one. {@code result} receives whether there is one then. */
        void openIfNone(EndpointHandle endpoint, Consumer<Boolean> result);
    }

    /** Receives crashes that requests may have caused. */
    interface CrashListener {

        /**
         * Called after a crash.
         *
         * @param endpoint tag of the endpoint
         * @param suspects requests that may have caused it, the likeliest first; of each one the ids of its shared
         *     segments, and its fingerprint
         * @param time time of the crash
         */
        void onCrash(int endpoint, List<List<String>> suspects, long time);
    }

    /** Receives the shared segments and the fingerprint of each request that was answered without a crash. */
    interface SurvivalListener {

        /** Called when an answer is complete, or has gone on for {@link SegmentQuarantine#SURVIVAL_TIME}. */
        void onSurvival(List<String> segments, long now);
    }
}
