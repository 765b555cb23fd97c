package org.toucanlane.gateway.dispatch;

import com.google.protobuf.ByteString;
import org.toucanlane.domain.outcome.RequestFailedException;
import org.toucanlane.wire.PeerCall;
import org.toucanlane.wire.PeerCallException;
import org.toucanlane.wire.proto.CallHead;

/** The answer of an endpoint in another data centre, through a host there. */
final class RemoteAnswer implements Answer {

    private final PeerCall call;
    private final CallHead head;
    private final String dataCentre;
    private final long patienceMillis;
    private ByteString rest = ByteString.EMPTY;

    RemoteAnswer(PeerCall call, CallHead head, String dataCentre, long patienceMillis) {
        this.call = call;
        this.head = head;
        this.dataCentre = dataCentre;
        this.patienceMillis = patienceMillis;
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
            while (rest.isEmpty()) {
                rest = call.next(patienceMillis);
                if (rest == null) {
                    rest = ByteString.EMPTY;
                    return -1;
                }
            }
        } catch (PeerCallException e) {
            throw PeerFailures.duringAnswer(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw PeerFailures.interrupted(e);
        }
        int count = Math.min(buffer.length, rest.size());
        rest.substring(0, count).copyTo(buffer, 0);
        rest = rest.substring(count);
        return count;
    }

    @Override
    public void close() {
        call.close();
    }
}
