package org.toucanlane.gateway.dispatch;

import com.google.protobuf.UnsafeByteOperations;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.outcome.RequestFailedException;
import org.toucanlane.gateway.GatewaySettings;
import org.toucanlane.gateway.peer.PeerRegistry;
import org.toucanlane.wire.PeerCall;
import org.toucanlane.wire.PeerCallException;
import org.toucanlane.wire.PeerLink;
import org.toucanlane.wire.proto.CallHead;
import org.toucanlane.wire.proto.CallOpen;

/** Forwards requests to a host of another data centre. A request is forwarded at most once. Thread-safe. */
@Singleton
public final class RemoteDispatcher {

    private final PeerRegistry peers;
    private final Duration readTimeout;

    /** Creates a dispatcher. */
    @Inject
    public RemoteDispatcher(PeerRegistry peers, GatewaySettings settings) {
        this.peers = peers;
        this.readTimeout = settings.endpointPatience();
    }

    /**
     * Sends a request to a host of {@code dataCentre}, without retries.
     *
     * @throws RequestFailedException if no response head was received
     */
    public GatewayResponse dispatch(GatewayRequest request, String dataCentre) throws RequestFailedException {
        PeerLink link = peers.selectLink(dataCentre)
                .orElseThrow(() -> new RequestFailedException(
                        ErrorKind.RESIDENCY_UNREACHABLE, "no host of " + dataCentre + " is reachable"));
        PeerCall call = null;
        boolean responseReceived = false;
        try {
            call = link.call(toMessage(request));
            CallHead head =
                    call.awaitHead(request.remainingTime().plus(readTimeout).toMillis());
            responseReceived = true;
            return new RemoteResponse(call, head, dataCentre, readTimeout.toMillis());
        } catch (PeerCallException e) {
            throw PeerFailures.beforeResponse(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw PeerFailures.interrupted(e);
        } finally {
            if (call != null && !responseReceived) {
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
                .setDeadlineMillis(request.remainingTime().toMillis())
                .addAllAllowedDataCentres(request.allowedDataCentres())
                .build();
    }
}
