package org.toucanlane.gateway.dispatch;

import com.google.protobuf.ByteString;
import org.toucanlane.domain.outcome.RequestFailedException;
import org.toucanlane.wire.PeerCall;
import org.toucanlane.wire.PeerCallException;
import org.toucanlane.wire.proto.CallHead;

/** The response of an endpoint in another data centre, relayed by a host there. */
final class RemoteResponse implements GatewayResponse {

    private final PeerCall call;
    private final CallHead head;
    private final String dataCentre;
    private final long readTimeoutMillis;
    private ByteString remaining = ByteString.EMPTY;

    RemoteResponse(PeerCall call, CallHead head, String dataCentre, long readTimeoutMillis) {
        this.call = call;
        this.head = head;
        this.dataCentre = dataCentre;
        this.readTimeoutMillis = readTimeoutMillis;
    }

    @Override
    public int status() {
        return head.getStatus();
    }

    @Override
    public String contentType() {
        return head.getContentType();
    }

    @Override
    public String dataCentre() {
        return dataCentre;
    }

    @Override
    public int read(byte[] buffer) throws RequestFailedException {
        try {
            while (remaining.isEmpty()) {
                remaining = call.next(readTimeoutMillis);
                if (remaining == null) {
                    remaining = ByteString.EMPTY;
                    return -1;
                }
            }
        } catch (PeerCallException e) {
            throw PeerFailures.duringResponse(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw PeerFailures.interrupted(e);
        }
        int count = Math.min(buffer.length, remaining.size());
        remaining.substring(0, count).copyTo(buffer, 0);
        remaining = remaining.substring(count);
        return count;
    }

    @Override
    public void close() {
        call.close();
    }
}
