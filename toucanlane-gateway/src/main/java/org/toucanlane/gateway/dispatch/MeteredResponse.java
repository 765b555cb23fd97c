package org.toucanlane.gateway.dispatch;

import java.util.concurrent.atomic.AtomicBoolean;
import org.toucanlane.coordination.share.Charge;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.outcome.RequestFailedException;

/**
 * A response that counts its tokens and verifies that it is complete.
 *
 * <p>A streamed response is complete only after its end marker. The charge is settled once, when the response is closed:
 * a streamed response is charged for the prompt and one token per event, any other for the total in its usage field or,
 * without one, for the full charge. A response with an error status is not charged. The rest is refunded.
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
     * Wraps a response.
     *
     * @param charge the tokens charged for the request
     * @param promptTokens the part of the charge that is for the prompt
     * @param streamed whether the caller requested a stream
     */
    public MeteredResponse(GatewayResponse response, Charge charge, long promptTokens, boolean streamed) {
        this.response = response;
        this.charge = charge;
        this.promptTokens = promptTokens;
        this.eventScanner = streamed && response.status() < MIN_ERROR_STATUS ? new EventScanner() : null;
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
