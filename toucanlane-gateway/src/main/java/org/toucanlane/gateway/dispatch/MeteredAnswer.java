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
public final class MeteredAnswer implements Answer {

    private static final int HTTP_ERROR = 400;

    private final Answer answer;
    private final Charge charge;
    private final long promptTokens;
    private final EventScanner events;
    private final UsageScanner usage = new UsageScanner();
    private final AtomicBoolean settled = new AtomicBoolean();

    /**
     * Wraps an answer.
     *
     * @param charge what was taken for the request
     * @param promptTokens part of the charge for the prompt
     * @param streamed whether the caller asked for a stream
     */
    public MeteredAnswer(Answer answer, Charge charge, long promptTokens, boolean streamed) {
        this.answer = answer;
        this.charge = charge;
        this.promptTokens = promptTokens;
        this.events = streamed && answer.status() < HTTP_ERROR ? new EventScanner() : null;
    }

    @Override
    public int status() {
        return answer.status();
    }

    @Override
    public String contentType() {
        return answer.contentType();
    }

    @Override
    public String dataCentre() {
        return answer.dataCentre();
    }

    @Override
    public int read(byte[] buffer) throws RequestFailedException {
        int count = answer.read(buffer);
        if (count > 0 && events != null) {
            events.scan(buffer, count);
        } else if (count > 0) {
            usage.scan(buffer, count);
        } else if (count < 0 && events != null && !events.isEnded()) {
            throw new RequestFailedException(ErrorKind.ANSWER_INCOMPLETE, "the stream ended without its end marker");
        }
        return count;
    }

    private long usedTokens() {
        if (answer.status() >= HTTP_ERROR) {
            return 0;
        }
        if (events != null) {
            return promptTokens + events.count();
        }
        return usage.totalTokens().orElse(charge.tokens());
    }

    @Override
    public void close() {
        answer.close();
        if (settled.compareAndSet(false, true)) {
            charge.settle(usedTokens());
        }
    }
}
