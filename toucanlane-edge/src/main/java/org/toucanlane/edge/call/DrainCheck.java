package org.toucanlane.edge.call;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.policy.drain.DrainPolicy;
import org.toucanlane.policy.drain.ResponseTimes;

/**
 * Refuses requests that aren't expected to end before the grace period of this host is over.
 *
 * <p>Invariant: refuses nothing before the grace period has begun, nor a request that can't be taken back: one whose
 * response has begun or that has an attempt in progress. Used on the host's event loop only.
 */
final class DrainCheck {

    /** Retry delay of a host that is shutting down. It is short because the retry goes to another host. */
    static final Duration RETRY_AFTER = Duration.ofMillis(20);

    private final GracePeriod gracePeriod;
    private final ResponseTimes responseTimes = new ResponseTimes();

    DrainCheck(GracePeriod gracePeriod) {
        this.gracePeriod = gracePeriod;
    }

    /** Records a response that has been delivered completely. */
    void recordResponse(AdmittedCall call, double millis) {
        responseTimes.record(kind(call), size(call), millis);
    }

    /**
     * Checks a request that is about to be sent to an upstream.
     *
     * @param committed whether its response has begun or it has an attempt in progress
     * @throws CallRefusedException if the request isn't expected to end in time
     */
    void check(AdmittedCall call, boolean committed) throws CallRefusedException {
        if (allows(call, committed)) {
            return;
        }
        long now = System.nanoTime();
        throw new CallRefusedException(
                ErrorKind.LEAVING,
                RETRY_AFTER,
                String.format(
                        Locale.ROOT,
                        "this host shuts down in %d ms; the request may take %d ms and is expected to take %s",
                        gracePeriod.remaining(now).toMillis(),
                        timeLeft(call, now).toMillis(),
                        expected(call).map(time -> time.toMillis() + " ms").orElse("an unknown time")));
    }

    /** Returns whether {@link #check} would let the request pass now. */
    boolean allows(AdmittedCall call, boolean committed) {
        long now = System.nanoTime();
        return committed
                || !gracePeriod.hasBegun()
                || DrainPolicy.fits(gracePeriod.remaining(now), timeLeft(call, now), expected(call));
    }

    private Optional<Duration> expected(AdmittedCall call) {
        return responseTimes.expected(kind(call), size(call));
    }

    private static Duration timeLeft(AdmittedCall call, long now) {
        return Duration.ofNanos(call.deadlineNanos() - now);
    }

    private static String kind(AdmittedCall call) {
        return call.route().name() + '/' + call.service();
    }

    private static long size(AdmittedCall call) {
        return Math.max(1, call.head().prompt().map(Prompt::outputTokens).orElse(1L));
    }
}
