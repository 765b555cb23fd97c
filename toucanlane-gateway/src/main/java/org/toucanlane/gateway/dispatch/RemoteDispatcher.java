package org.toucanlane.gateway.dispatch;

import com.google.protobuf.UnsafeByteOperations;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.outcome.RequestFailedException;
import org.toucanlane.gateway.GatewaySettings;
import org.toucanlane.gateway.peer.PeerHub;
import org.toucanlane.wire.PeerCall;
import org.toucanlane.wire.PeerCallException;
import org.toucanlane.wire.PeerLink;
import org.toucanlane.wire.proto.CallHead;
import org.toucanlane.wire.proto.CallOpen;

/**
 * Hands requests to a host of another data centre, over one hop and never more. Thread-safe.
 */
@Singleton
public final class RemoteDispatcher {

    private final PeerHub peers;
    private final Duration patience;

    /** Creates a dispatcher. */
    @Inject
    public RemoteDispatcher(PeerHub peers, GatewaySettings settings) {
        this.peers = peers;
        this.patience = settings.endpointPatience();
    }

    /**
     * Sends a request to a host of {@code dataCentre}, once.
     *
     * @throws RequestFailedException if there is no answer
     */
    public Answer open(GatewayRequest request, String dataCentre) throws RequestFailedException {
        PeerLink link = peers.linkInto(dataCentre)
                .orElseThrow(() -> new RequestFailedException(
                        ErrorKind.RESIDENCY_UNREACHABLE, "no host of " + dataCentre + " is reachable"));
        PeerCall call = null;
        boolean answered = false;
        try {
            call = link.call(toMessage(request));
            CallHead head = call.awaitHead(request.timeLeft().plus(patience).toMillis());
            answered = true;
            return new RemoteAnswer(call, head, dataCentre, patience.toMillis());
        } catch (PeerCallException e) {
            throw PeerFailures.beforeAnswer(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw PeerFailures.interrupted(e);
        } finally {
            if (call != null && !answered) {
                call.close();
            }
        }
    }

    private static CallOpen toMessage(GatewayRequest request) {
        return CallOpen.newBuilder()
                .setRequestId(request.id())
                .setAccount(request.account().name())
                .setKeyId(request.keyId())
                .setRoute(request.route().name())
                .setMethod(request.method())
                .setPath(request.path())
                .setContentType(request.contentType())
                .setAccept(request.accept())
                .setBody(UnsafeByteOperations.unsafeWrap(request.body()))
                .setHops(1)
                .setTokens(request.tokens())
                .setAffinity(request.affinity())
                .setDeadlineMillis(request.timeLeft().toMillis())
                .addAllAllowedDataCentres(request.allowedDataCentres())
                .build();
    }
}
