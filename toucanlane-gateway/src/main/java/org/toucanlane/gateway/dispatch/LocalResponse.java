package org.toucanlane.gateway.dispatch;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.outcome.RequestFailedException;
import org.toucanlane.platform.endpoint.EndpointResponse;

/** The response of an endpoint in the local data centre. Closing it releases its endpoint slot. */
final class LocalResponse implements GatewayResponse {

    private final EndpointResponse response;
    private final String dataCentre;
    private final EndpointSlot slot;
    private final AtomicBoolean closed = new AtomicBoolean();

    LocalResponse(EndpointResponse response, String dataCentre, EndpointSlot slot) {
        this.response = response;
        this.dataCentre = dataCentre;
        this.slot = slot;
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
        return dataCentre;
    }

    @Override
    public int read(byte[] buffer) throws RequestFailedException {
        try {
            return response.read(buffer);
        } catch (SocketTimeoutException e) {
            slot.recordFailure();
            throw new RequestFailedException(ErrorKind.ANSWER_INCOMPLETE, "the endpoint fell silent", e);
        } catch (IOException e) {
            slot.recordFailure();
            throw new RequestFailedException(ErrorKind.ANSWER_INCOMPLETE, "the endpoint broke off", e);
        }
    }

    @Override
    public void close() {
        if (closed.compareAndSet(false, true)) {
            response.close();
            slot.close();
        }
    }
}
