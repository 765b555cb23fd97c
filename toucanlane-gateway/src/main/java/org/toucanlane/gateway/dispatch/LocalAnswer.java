package org.toucanlane.gateway.dispatch;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.outcome.RequestFailedException;
import org.toucanlane.platform.endpoint.EndpointResponse;

/** The answer of an endpoint in this data centre. Gives its place back when closed. */
final class LocalAnswer implements Answer {

    private final EndpointResponse answer;
    private final String dataCentre;
    private final EndpointSlot slot;
    private final AtomicBoolean closed = new AtomicBoolean();

    LocalAnswer(EndpointResponse answer, String dataCentre, EndpointSlot slot) {
        this.answer = answer;
        this.dataCentre = dataCentre;
        this.slot = slot;
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
        return dataCentre;
    }

    @Override
    public int read(byte[] buffer) throws RequestFailedException {
        try {
            return answer.read(buffer);
        } catch (SocketTimeoutException e) {
            slot.failed();
            throw new RequestFailedException(ErrorKind.ANSWER_INCOMPLETE, "the endpoint fell silent", e);
        } catch (IOException e) {
            slot.failed();
            throw new RequestFailedException(ErrorKind.ANSWER_INCOMPLETE, "the endpoint broke off", e);
        }
    }

    @Override
    public void close() {
        if (closed.compareAndSet(false, true)) {
            answer.close();
            slot.close();
        }
    }
}
