package org.toucanlane.wire;

import org.toucanlane.wire.proto.CallOpen;
import org.toucanlane.wire.proto.ConfigurationReply;
import org.toucanlane.wire.proto.ConfigurationRequest;
import org.toucanlane.wire.proto.Heartbeat;
import org.toucanlane.wire.proto.LoanReply;
import org.toucanlane.wire.proto.LoanRequest;
import org.toucanlane.wire.proto.LoanReturn;

/** Handler that ignores notifications, returns empty replies and rejects every call. Stateless. */
class NoOpPeerHandler implements PeerHandler {

    @Override
    public void onHeartbeat(PeerIdentity from, Heartbeat heartbeat) {
        // Ignored.
    }

    @Override
    public Heartbeat heartbeat() {
        return Heartbeat.getDefaultInstance();
    }

    @Override
    public void onCall(PeerIdentity from, CallOpen call, CallResponder responder) {
        responder.fail("UNKNOWN_ROUTE", "nothing is served here", 0);
    }

    @Override
    public LoanReply onLoanRequest(PeerIdentity from, LoanRequest request) {
        return LoanReply.getDefaultInstance();
    }

    @Override
    public void onLoanReturn(PeerIdentity from, LoanReturn returned) {
        // Ignored.
    }

    @Override
    public ConfigurationReply onConfigurationRequest(PeerIdentity from, ConfigurationRequest request) {
        return ConfigurationReply.getDefaultInstance();
    }
}
