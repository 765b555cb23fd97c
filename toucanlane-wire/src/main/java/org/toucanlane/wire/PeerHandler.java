package org.toucanlane.wire;

import org.toucanlane.wire.proto.CallOpen;
import org.toucanlane.wire.proto.ConfigurationReply;
import org.toucanlane.wire.proto.ConfigurationRequest;
import org.toucanlane.wire.proto.Heartbeat;
import org.toucanlane.wire.proto.LoanReply;
import org.toucanlane.wire.proto.LoanRequest;
import org.toucanlane.wire.proto.LoanReturn;

/**
 * What a host does with its peers' messages. Implementations are thread-safe; every method but {@link #onCall} runs on
 * a network thread and must not block.
 */
public interface PeerHandler {

    /** Takes in a heartbeat. */
    void onHeartbeat(PeerIdentity from, Heartbeat heartbeat);

    /** Returns this host's heartbeat. */
    Heartbeat heartbeat();

    /** Serves a call; runs on a thread of its own and ends the call through {@code responder}. */
    void onCall(PeerIdentity from, CallOpen call, CallResponder responder);

    /** Answers a request for a loan. */
    LoanReply onLoanRequest(PeerIdentity from, LoanRequest request);

    /** Takes back a loan. */
    void onLoanReturn(PeerIdentity from, LoanReturn returned);

    /** Answers a request for the configuration. */
    ConfigurationReply onConfigurationRequest(PeerIdentity from, ConfigurationRequest request);
}
