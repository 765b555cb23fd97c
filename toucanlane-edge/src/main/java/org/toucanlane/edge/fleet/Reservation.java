package org.toucanlane.edge.fleet;

import java.util.List;

/**
 * One request's place on an endpoint, from its sending to its end.
 *
 * <p>{@link #end} counts once. Used on the host's event loop only.
 */
public final class Reservation {

    private static final double NANOS_PER_MILLI = 1e6;

    private final EndpointHandle endpoint;
    private final long prefillTokens;
    private final long residentTokens;
    private final double estimatedMillis;
    private final long sentAt = System.nanoTime();
    private boolean answered;
    private boolean ended;

    /**
     * Takes a place.
     *
     * @param parts parts of the prompt, which the endpoint keeps once it has read them
     * @param newTokens prompt tokens that it is expected to read
     * @param neededTokens tokens that the request keeps in its memory
     * @param estimatedMillis expected time to the first answer
     */
    public Reservation(
            EndpointHandle endpoint,
            List<PromptSegment> parts,
            long newTokens,
            long neededTokens,
            double estimatedMillis) {
        this.endpoint = endpoint;
        this.prefillTokens = newTokens;
        this.residentTokens = neededTokens;
        this.estimatedMillis = Math.max(1, estimatedMillis);
        endpoint.requestStarted(newTokens, neededTokens, sentAt);
        endpoint.recordCached(parts);
    }

    /** Notes that its first answer has come. */
    public void recordFirstResponse() {
        if (!answered && !ended) {
            answered = true;
            endpoint.firstResponseReceived(prefillTokens, millisSince(sentAt), estimatedMillis, System.nanoTime());
        }
    }

    /** Gives the place back. */
    public void end(Outcome result) {
        if (ended) {
            return;
        }
        ended = true;
        if (!answered) {
            endpoint.discardPendingTokens(prefillTokens);
        }
        endpoint.requestEnded(residentTokens, millisSince(sentAt), result == Outcome.COMPLETE);
        long now = System.nanoTime();
        switch (result) {
            case COMPLETE -> endpoint.recordSuccess(now);
            case FAILED -> endpoint.recordFailure(now);
            case REJECTED -> endpoint.recordRejection(now);
            case CANCELLED -> {}
            default -> throw new AssertionError(result);
        }
    }

    private static double millisSince(long start) {
        return (System.nanoTime() - start) / NANOS_PER_MILLI;
    }

    /** How a request ended, as far as it says something of the endpoint. */
    public enum Outcome {
        /** The endpoint answered whole. */
        COMPLETE,
        /** The endpoint failed it. */
        FAILED,
        /** The endpoint had no room. */
        REJECTED,
        /** The caller or this host gave it up. */
        CANCELLED
    }
}
