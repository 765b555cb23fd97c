package org.toucanlane.gateway.dispatch;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.outcome.ExecutionStatus;
import org.toucanlane.domain.outcome.RequestFailedException;
import org.toucanlane.gateway.telemetry.RequestMetrics;
import org.toucanlane.policy.retry.RetryBudget;
import org.toucanlane.policy.routing.DataCentreRanker;

/**
 * Dispatches admitted requests: chooses a data centre, sends the request there and retries it where that is safe.
 *
 * <p>Invariants: a request is sent only to data centres in which it may run; a request that is not repeatable is never
 * retried once a byte of it may have reached an endpoint; retries are limited by a retry budget. Thread-safe.
 */
@Singleton
public final class Dispatcher {

    private static final int MAX_ATTEMPTS = 4;
    private static final double RETRIES_PER_REQUEST = 0.2;
    private static final int MAX_SAVED_RETRIES = 50;

    private final DataCentreRouter dataCentreRouter;
    private final LocalDispatcher local;
    private final RemoteDispatcher remote;
    private final RequestMetrics metrics;
    private final RetryBudget retryBudget = new RetryBudget(RETRIES_PER_REQUEST, MAX_SAVED_RETRIES);

    /** Creates a dispatcher. */
    @Inject
    public Dispatcher(
            DataCentreRouter dataCentreRouter, LocalDispatcher local, RemoteDispatcher remote, RequestMetrics metrics) {
        this.dataCentreRouter = dataCentreRouter;
        this.local = local;
        this.remote = remote;
        this.metrics = metrics;
    }

    /**
     * Dispatches a request and returns the response once its head has arrived; the caller must close it.
     *
     * @throws RequestFailedException if no attempt got a response; its kind tells whether the request may have run
     */
    public GatewayResponse dispatch(GatewayRequest request) throws RequestFailedException {
        retryBudget.deposit();
        Set<String> triedEndpoints = new HashSet<>();
        Set<String> triedDataCentres = new HashSet<>();
        RequestFailedException last = null;
        for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
            List<DataCentreRanker.Candidate> candidates = dataCentreRouter.rank(request, triedDataCentres);
            if (candidates.isEmpty()) {
                break;
            }
            DataCentreRanker.Candidate best = candidates.get(0);
            int endpointsBefore = triedEndpoints.size();
            try {
                return best.view().local()
                        ? local.dispatch(request, triedEndpoints)
                        : remote.dispatch(request, best.view().name());
            } catch (RequestFailedException e) {
                last = preferPossiblyRun(last, e);
                if (triedEndpoints.size() == endpointsBefore) {
                    triedDataCentres.add(best.view().name());
                }
                if (!mayRetry(request, e)) {
                    throw last;
                }
                metrics.recordRetry(request.route().service());
            }
        }
        throw last != null ? last : noReachableDataCentre();
    }

    /**
     * Checks that a data centre can run the request now, so that an unroutable request is rejected before it is charged.
     *
     * @throws RequestFailedException if no data centre can run it
     */
    public void checkReachable(GatewayRequest request) throws RequestFailedException {
        if (dataCentreRouter.rank(request, Set.of()).isEmpty()) {
            throw noReachableDataCentre();
        }
    }

    private static RequestFailedException noReachableDataCentre() {
        return new RequestFailedException(
                ErrorKind.RESIDENCY_UNREACHABLE,
                "no data centre in which the request may run has an endpoint that can be reached");
    }

    /** Returns the failure to report: a possibly executed attempt takes precedence, so NOT_RUN covers all attempts. */
    private static RequestFailedException preferPossiblyRun(RequestFailedException last, RequestFailedException next) {
        boolean lastMayHaveRun = last != null && last.kind().executionStatus() != ExecutionStatus.NOT_RUN;
        return lastMayHaveRun && next.kind().executionStatus() == ExecutionStatus.NOT_RUN ? last : next;
    }

    private boolean mayRetry(GatewayRequest request, RequestFailedException e) {
        boolean safe = e.kind().executionStatus() == ExecutionStatus.NOT_RUN || request.isRepeatable();
        boolean worthwhile = e.kind().isRetryable() && !request.remainingTime().isZero();
        return safe && worthwhile && retryBudget.tryWithdraw();
    }
}
