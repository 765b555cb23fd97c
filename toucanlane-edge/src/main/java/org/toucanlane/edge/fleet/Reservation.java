package org.toucanlane.edge.fleet;

import java.util.List;
import org.toucanlane.policy.capacity.EndpointSpeed;

/**
 * Accounts for one request on an endpoint from the time it is sent until it ends.
 *
 * <p>Only the first call to {@link #end} has an effect. Not thread-safe: confined to the host's event loop.
 */
public final class Reservation {

    private static final double NANOS_PER_MILLI = 1e6;

    private final EndpointHandle endpoint;
    private final long prefillTokens;
    private final long residentTokens;
    private final EndpointSpeed.Expectation expectation;
    private final long sentAt = System.nanoTime();
    private boolean answered;
    private boolean ended;

    /**
     * Reserves capacity on the endpoint.
     *
     * @param segments segments of the prompt, which the endpoint caches once it has processed them
     * @param prefillTokens prompt tokens that the endpoint is expected to process because they are not cached
     * @param residentTokens tokens that the request holds in the endpoint's memory
     * @param estimatedMillis expected time to the first response
     */
    public Reservation(
            EndpointHandle endpoint,
            List<PromptSegment> segments,
            long prefillTokens,
            long residentTokens,
            double estimatedMillis) {
        this.endpoint = endpoint;
        this.prefillTokens = prefillTokens;
        this.residentTokens = residentTokens;
        this.expectation = endpoint.expectation(prefillTokens, Math.max(1, estimatedMillis));
        endpoint.requestStarted(prefillTokens, residentTokens, sentAt);
        endpoint.recordCached(segments);
    }

    /** Records that the first response has arrived. */
    public void recordFirstResponse() {
        if (!answered && !ended) {
            answered = true;
            endpoint.firstResponseReceived(prefillTokens, expectation, millisSince(sentAt), System.nanoTime());
        }
    }

    /** Releases the reservation and updates the endpoint's health. */
    public void end(Outcome outcome) {
        if (ended) {
            return;
        }
        ended = true;
        if (!answered) {
            endpoint.discardPendingTokens(prefillTokens);
        }
        endpoint.requestEnded(residentTokens, millisSince(sentAt), outcome == Outcome.COMPLETE);
        long now = System.nanoTime();
        switch (outcome) {
            case COMPLETE -> endpoint.recordSuccess(now);
            case FAILED -> endpoint.recordFailure(now);
            case REJECTED -> endpoint.recordRejection(now);
            case CANCELLED -> {}
            default -> throw new AssertionError(outcome);
        }
    }

    private static double millisSince(long start) {
        return (System.nanoTime() - start) / NANOS_PER_MILLI;
    }

    /** The outcome of a request, as far as it matters for the endpoint's health. */
    public enum Outcome {
        /** The endpoint sent a complete response. */
        COMPLETE,
        /** The endpoint failed the request. */
        FAILED,
        /** The endpoint rejected the request for lack of capacity. */
        REJECTED,
        /** The client or this host cancelled the request. */
        CANCELLED
    }
}
