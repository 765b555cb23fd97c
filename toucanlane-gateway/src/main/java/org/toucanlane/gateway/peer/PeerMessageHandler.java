package org.toucanlane.gateway.peer;

import com.google.protobuf.ByteString;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.util.Optional;
import org.toucanlane.coordination.share.LoanGrant;
import org.toucanlane.coordination.share.ShareLedger;
import org.toucanlane.domain.configuration.ConfigurationSnapshot;
import org.toucanlane.gateway.configuration.ConfigurationManager;
import org.toucanlane.gateway.dispatch.EndpointPools;
import org.toucanlane.gateway.dispatch.EndpointState;
import org.toucanlane.gateway.lifecycle.HostPhase;
import org.toucanlane.wire.CallResponder;
import org.toucanlane.wire.PeerHandler;
import org.toucanlane.wire.PeerIdentity;
import org.toucanlane.wire.proto.CallOpen;
import org.toucanlane.wire.proto.Chunk;
import org.toucanlane.wire.proto.ConfigurationReply;
import org.toucanlane.wire.proto.ConfigurationRequest;
import org.toucanlane.wire.proto.EndpointLoad;
import org.toucanlane.wire.proto.Heartbeat;
import org.toucanlane.wire.proto.LoanReply;
import org.toucanlane.wire.proto.LoanRequest;
import org.toucanlane.wire.proto.LoanReturn;

/** Handles the messages that this host receives from its peers. Thread-safe. */
@Singleton
public final class PeerMessageHandler implements PeerHandler {

    private final PeerRegistry peers;
    private final ConfigurationManager configuration;
    private final ShareLedger ledger;
    private final EndpointPools pools;
    private final EndpointLoadMonitor loadMonitor;
    private final PeerCallService callService;
    private final HostPhase phase;

    /** Creates a handler. */
    @Inject
    public PeerMessageHandler(
            PeerRegistry peers,
            ConfigurationManager configuration,
            ShareLedger ledger,
            EndpointPools pools,
            EndpointLoadMonitor loads,
            PeerCallService calls,
            HostPhase phase) {
        this.peers = peers;
        this.configuration = configuration;
        this.ledger = ledger;
        this.pools = pools;
        this.loadMonitor = loads;
        this.callService = calls;
        this.phase = phase;
    }

    @Override
    public void onHeartbeat(PeerIdentity from, Heartbeat heartbeat) {
        peers.recordHeartbeat(from, heartbeat);
        heartbeat.getLoadsList().forEach(this::recordLoad);
        configuration.onPeerVersion(from.host(), heartbeat.getConfigurationVersion());
    }

    private void recordLoad(EndpointLoad load) {
        EndpointState state = pools.state(load.getEndpoint());
        if (state != null) {
            state.recordLoad(load.getRunning(), load.getAvailable());
        }
    }

    @Override
    public Heartbeat heartbeat() {
        return Heartbeat.newBuilder()
                .setConfigurationVersion(configuration.version())
                .setLeaving(phase.isLeaving())
                .setRunningCalls(pools.runningRequests())
                .addAllLoads(loadMonitor.latestLoads())
                .build();
    }

    @Override
    public void onCall(PeerIdentity from, CallOpen call, CallResponder responder) {
        callService.serve(call, responder);
    }

    @Override
    public LoanReply onLoanRequest(PeerIdentity from, LoanRequest request) {
        LoanGrant grant = ledger.lend(request.getLoanId(), request.getAccount(), request.getTokens());
        return LoanReply.newBuilder()
                .setLoanId(request.getLoanId())
                .setTokens(grant.tokens())
                .setValidMillis(grant.validity().toMillis())
                .build();
    }

    @Override
    public void onLoanReturn(PeerIdentity from, LoanReturn returned) {
        ledger.acceptReturn(returned.getLoanId(), returned.getAccount(), returned.getTokens());
    }

    @Override
    public ConfigurationReply onConfigurationRequest(PeerIdentity from, ConfigurationRequest request) {
        Optional<ConfigurationSnapshot> snapshot = configuration.snapshot();
        if (snapshot.isEmpty() || snapshot.get().version() <= request.getKnownVersion()) {
            return ConfigurationReply.getDefaultInstance();
        }
        ConfigurationReply.Builder reply = ConfigurationReply.newBuilder()
                .setVersion(snapshot.get().version())
                .setManifest(ByteString.copyFrom(snapshot.get().manifestBytes()));
        snapshot.get().documents().forEach((hash, document) -> {
            if (!request.getKnownChunksList().contains(hash)) {
                ByteString text = ByteString.copyFromUtf8(document.text());
                reply.addChunks(Chunk.newBuilder().setHash(hash).setContent(text));
            }
        });
        return reply.build();
    }
}
