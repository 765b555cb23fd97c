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
 * Finds an answer for an admitted request: chooses a data centre, sends, and sends again where that is allowed.
 *
 * <p>Invariants: a request is sent only to data centres in which it may run; one that may not be repeated is never sent
 * again once a byte of it may have reached an endpoint; repeats come out of a budget. Thread-safe.
 */
@Singleton
public final class Dispatcher {

    private static final int MAX_ATTEMPTS = 4;
    private static final double RETRIES_PER_CALL = 0.2;
    private static final int SAVED_RETRIES = 50;

    private final DataCentres dataCentres;
    private final LocalDispatcher local;
    private final RemoteDispatcher remote;
    private final RequestMetrics metrics;
    private final RetryBudget budget = new RetryBudget(RETRIES_PER_CALL, SAVED_RETRIES);

    /** Creates a dispatcher. */
    @Inject
    public Dispatcher(DataCentres dataCentres, LocalDispatcher local, RemoteDispatcher remote, RequestMetrics metrics) {
        this.dataCentres = dataCentres;
        this.local = local;
        this.remote = remote;
        this.metrics = metrics;
    }

    /**
     * Returns the head of an answer; the caller closes it.
     *
     * @throws RequestFailedException if no answer was to be had; its kind tells whether the request ran
     */
    public Answer open(GatewayRequest request) throws RequestFailedException {
        budget.deposit();
        Set<String> triedEndpoints = new HashSet<>();
        Set<String> triedDataCentres = new HashSet<>();
        RequestFailedException last = null;
        for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
            List<DataCentreRanker.Candidate> candidates = dataCentres.rank(request, triedDataCentres);
            if (candidates.isEmpty()) {
                break;
            }
            DataCentreRanker.Candidate best = candidates.get(0);
            int endpointsBefore = triedEndpoints.size();
            try {
                return best.view().local()
                        ? local.open(request, triedEndpoints)
                        : remote.open(request, best.view().name());
            } catch (RequestFailedException e) {
                last = worse(last, e);
                if (triedEndpoints.size() == endpointsBefore) {
                    triedDataCentres.add(best.view().name());
                }
                if (!mayRepeat(request, e)) {
                    throw last;
                }
                metrics.retried(request.route().service());
            }
        }
        throw last != null ? last : unreachable();
    }

    /**
     * Checks that some data centre can run the request now, so that one that can't is refused before it is charged.
     *
     * @throws RequestFailedException if none can
     */
    public void checkReachable(GatewayRequest request) throws RequestFailedException {
        if (dataCentres.rank(request, Set.of()).isEmpty()) {
            throw unreachable();
        }
    }

    private static RequestFailedException unreachable() {
        return new RequestFailedException(
                ErrorKind.RESIDENCY_UNREACHABLE,
                "no data centre in which the request may run has an endpoint that can be reached");
    }

    /** Keeps the failure that says the most may have happened, so that "not run" is true of all attempts. */
    private static RequestFailedException worse(RequestFailedException last, RequestFailedException next) {
        boolean lastMayHaveRun = last != null && last.kind().executionStatus() != ExecutionStatus.NOT_RUN;
        return lastMayHaveRun && next.kind().executionStatus() == ExecutionStatus.NOT_RUN ? last : next;
    }

    private boolean mayRepeat(GatewayRequest request, RequestFailedException e) {
        boolean harmless = e.kind().executionStatus() == ExecutionStatus.NOT_RUN || request.isRepeatable();
        boolean useful = e.kind().isRetryable() && !request.timeLeft().isZero();
        return harmless && useful && budget.tryWithdraw();
    }
}
