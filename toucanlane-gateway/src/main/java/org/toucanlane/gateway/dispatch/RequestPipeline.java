package org.toucanlane.gateway.dispatch;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.toucanlane.coordination.share.Charge;
import org.toucanlane.coordination.share.InsufficientTokensException;
import org.toucanlane.coordination.share.ShareLedger;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.outcome.RequestFailedException;
import org.toucanlane.gateway.once.IdempotencyGuard;

/**
 * Processes a request: checks reachability, admits it, claims the idempotency key of a request that is not repeatable,
 * dispatches it and meters the response.
 *
 * <p>Invariant: each charge is settled exactly once, also if the request fails. Thread-safe.
 */
@Singleton
public final class RequestPipeline {

    private final ShareLedger ledger;
    private final IdempotencyGuard idempotencyGuard;
    private final Dispatcher dispatcher;

    /** Creates a pipeline. */
    @Inject
    public RequestPipeline(ShareLedger ledger, IdempotencyGuard idempotencyGuard, Dispatcher dispatcher) {
        this.ledger = ledger;
        this.idempotencyGuard = idempotencyGuard;
        this.dispatcher = dispatcher;
    }

    /**
     * Runs a request and returns the response once its head has arrived; the caller must close it.
     *
     * @param promptTokens the part of the request's tokens that is for the prompt
     * @throws RequestFailedException if the request is rejected or fails
     */
    public GatewayResponse run(GatewayRequest request, long promptTokens) throws RequestFailedException {
        dispatcher.checkReachable(request);
        Charge charge = admit(request);
        boolean responseReceived = false;
        try {
            GatewayResponse response = idempotencyGuard.run(request, () -> dispatcher.dispatch(request));
            responseReceived = true;
            return new MeteredResponse(response, charge, promptTokens, request.streamed());
        } finally {
            if (!responseReceived) {
                charge.settle(0);
            }
        }
    }

    private Charge admit(GatewayRequest request) throws RequestFailedException {
        if (request.account().burstTokens() == 0) {
            return Charge.empty();
        }
        if (request.tokens() > request.account().burstTokens()) {
            throw new RequestFailedException(
                    ErrorKind.REQUEST_TOO_LARGE,
                    "the request may use " + request.tokens() + " tokens, the account can hold "
                            + request.account().burstTokens());
        }
        try {
            return ledger.admit(request.account().name(), request.tokens());
        } catch (InsufficientTokensException e) {
            ErrorKind kind = e.isHolderUnreachable() ? ErrorKind.LIMIT_UNREACHABLE : ErrorKind.RATE_LIMITED;
            throw new RequestFailedException(kind, e.getMessage(), e.retryAfter(), e);
        }
    }
}
