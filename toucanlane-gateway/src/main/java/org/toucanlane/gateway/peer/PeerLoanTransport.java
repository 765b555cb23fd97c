package org.toucanlane.gateway.peer;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.toucanlane.coordination.share.LoanGrant;
import org.toucanlane.coordination.share.LoanTransport;
import org.toucanlane.gateway.GatewaySettings;
import org.toucanlane.wire.proto.LoanReply;
import org.toucanlane.wire.proto.LoanRequest;
import org.toucanlane.wire.proto.LoanReturn;

/** Transports token loans over the links between hosts. Thread-safe. */
@Singleton
public final class PeerLoanTransport implements LoanTransport {

    private final PeerRegistry peers;
    private final boolean borrowingEnabled;

    /** Creates a transport over the links of {@code peers}. */
    @Inject
    public PeerLoanTransport(PeerRegistry peers, GatewaySettings settings) {
        this.peers = peers;
        this.borrowingEnabled = settings.isBorrowing();
    }

    @Override
    public Optional<LoanGrant> borrow(String lender, String loanId, String account, long tokens, Duration wait) {
        LoanRequest request = LoanRequest.newBuilder()
                .setLoanId(loanId)
                .setAccount(account)
                .setTokens(tokens)
                .build();
        try {
            return peers.link(lender).isEmpty()
                    ? Optional.empty()
                    : peers.link(lender)
                            .get()
                            .requestLoan(request)
                            .get(wait.toMillis(), TimeUnit.MILLISECONDS)
                            .map(PeerLoanTransport::toGrant);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        } catch (ExecutionException | TimeoutException e) {
            return Optional.empty();
        }
    }

    private static LoanGrant toGrant(LoanReply reply) {
        return new LoanGrant(reply.getTokens(), Duration.ofMillis(reply.getValidMillis()));
    }

    @Override
    public void returnUnused(String lender, String loanId, String account, long unusedTokens) {
        LoanReturn returned = LoanReturn.newBuilder()
                .setLoanId(loanId)
                .setAccount(account)
                .setTokens(unusedTokens)
                .build();
        peers.link(lender).ifPresent(link -> link.returnLoan(returned));
    }

    @Override
    public boolean isReachable(String host) {
        if (!borrowingEnabled) {
            return false;
        }
        if (peers.link(host).isEmpty()) {
            peers.requestLink(host);
            return false;
        }
        return peers.membership().state(host).acceptsWork();
    }
}
