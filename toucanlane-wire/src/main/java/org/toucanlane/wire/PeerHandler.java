package org.toucanlane.wire;

import org.toucanlane.wire.proto.CallOpen;
import org.toucanlane.wire.proto.ConfigurationReply;
import org.toucanlane.wire.proto.ConfigurationRequest;
import org.toucanlane.wire.proto.Heartbeat;
import org.toucanlane.wire.proto.LoanReply;
import org.toucanlane.wire.proto.LoanRequest;
import org.toucanlane.wire.proto.LoanReturn;

/**
 * Handles the messages that a host receives from its peers.
 *
 * <p>Implementations must be thread-safe. Every method except {@link #onCall} runs on a network thread and must not
 * block.
 */
public interface PeerHandler {

    /** Processes a heartbeat from a peer. */
    void onHeartbeat(PeerIdentity from, Heartbeat heartbeat);

    /** Returns the heartbeat that this host sends to its peers. */
    Heartbeat heartbeat();

    /** Serves a call on a thread of its own. The implementation ends the call through {@code responder}. */
    void onCall(PeerIdentity from, CallOpen call, CallResponder responder);

    /** Returns the reply to a loan request. */
    LoanReply onLoanRequest(PeerIdentity from, LoanRequest request);

    /** Processes the return of a loan. */
    void onLoanReturn(PeerIdentity from, LoanReturn returned);

    /** Returns the reply to a configuration request. */
    ConfigurationReply onConfigurationRequest(PeerIdentity from, ConfigurationRequest request);
}
