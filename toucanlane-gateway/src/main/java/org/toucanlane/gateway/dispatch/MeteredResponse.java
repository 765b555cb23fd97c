package org.toucanlane.gateway.dispatch;

import java.util.concurrent.atomic.AtomicBoolean;
import org.toucanlane.coordination.share.Charge;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.outcome.RequestFailedException;

/**
 * An answer whose tokens are counted and whose end is checked.
 *
 * <p>A streamed answer is whole only after its end marker. The charge is settled once, when the answer is closed: the
 * prompt and what was generated are kept, the rest is given back. An answer that is not a stream keeps what its usage
 * field says.
 */
public final class MeteredResponse implements GatewayResponse {

    private static final int MIN_ERROR_STATUS = 400;

    private final GatewayResponse response;
    private final Charge charge;
    private final long promptTokens;
    private final EventScanner eventScanner;
    private final UsageScanner usageScanner = new UsageScanner();
    private final AtomicBoolean settled = new AtomicBoolean();

    /**
     * Wraps an answer.
     *
     * @param charge what was taken for the request
     * @param promptTokens part of the charge for the prompt
     * @param streamed whether the caller asked for a stream
     */
    public MeteredResponse(GatewayResponse answer, Charge charge, long promptTokens, boolean streamed) {
        this.response = answer;
        this.charge = charge;
        this.promptTokens = promptTokens;
        this.eventScanner = streamed && answer.status() < MIN_ERROR_STATUS ? new EventScanner() : null;
    }

    @Override
    public int status() {
        return response.status();
    }

    @Override
    public String contentType() {
        return response.contentType();
    }

    @Override
    public String dataCentre() {
        return response.dataCentre();
    }

    @Override
    public int read(byte[] buffer) throws RequestFailedException {
        int count = response.read(buffer);
        if (count > 0 && eventScanner != null) {
            eventScanner.scan(buffer, count);
        } else if (count > 0) {
            usageScanner.scan(buffer, count);
        } else if (count < 0 && eventScanner != null && !eventScanner.isEnded()) {
            throw new RequestFailedException(ErrorKind.ANSWER_INCOMPLETE, "the stream ended without its end marker");
        }
        return count;
    }

    private long usedTokens() {
        if (response.status() >= MIN_ERROR_STATUS) {
            return 0;
        }
        if (eventScanner != null) {
            return promptTokens + eventScanner.eventCount();
        }
        return usageScanner.totalTokens().orElse(charge.tokens());
    }

    @Override
    public void close() {
        response.close();
        if (settled.compareAndSet(false, true)) {
            charge.settle(usedTokens());
        }
    }
}
