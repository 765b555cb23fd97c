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
 * The path of a request: see that it can run anywhere, admit, claim if it is a one-time action, dispatch, count.
 *
 * <p>Invariant: whatever was charged is settled exactly once, also when the request fails. Thread-safe.
 */
@Singleton
public final class RequestPipeline {

    private final ShareLedger ledger;
    private final IdempotencyGuard once;
    private final Dispatcher dispatcher;

    /** Creates a pipeline. */
    @Inject
    public RequestPipeline(ShareLedger ledger, IdempotencyGuard once, Dispatcher dispatcher) {
        this.ledger = ledger;
        this.once = once;
        this.dispatcher = dispatcher;
    }

    /**
     * Returns the head of the request's answer; the caller closes it.
     *
     * @param promptTokens part of the request's tokens that its prompt takes
     * @throws RequestFailedException if it is refused or failed
     */
    public Answer run(GatewayRequest request, long promptTokens) throws RequestFailedException {
        dispatcher.checkReachable(request);
        Charge charge = admit(request);
        boolean answered = false;
        try {
            Answer answer = once.run(request, () -> dispatcher.open(request));
            answered = true;
            return new MeteredAnswer(answer, charge, promptTokens, request.streamed());
        } finally {
            if (!answered) {
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
