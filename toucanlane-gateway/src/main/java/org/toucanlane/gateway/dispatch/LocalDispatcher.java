package org.toucanlane.gateway.dispatch;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.net.URI;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.outcome.RequestFailedException;
import org.toucanlane.gateway.GatewaySettings;
import org.toucanlane.gateway.caller.KeyRing;
import org.toucanlane.gateway.telemetry.RequestMetrics;
import org.toucanlane.platform.endpoint.EndpointClient;
import org.toucanlane.platform.endpoint.EndpointException;
import org.toucanlane.platform.endpoint.EndpointRequest;
import org.toucanlane.platform.endpoint.EndpointResponse;
import org.toucanlane.policy.queue.FairQueue;
import org.toucanlane.policy.queue.QueueRejectedException;
import org.toucanlane.policy.routing.EndpointSelection;
import org.toucanlane.policy.routing.EndpointSelector;

/**
 * Runs requests at the endpoints of this data centre: waits for a place, chooses an endpoint, sends once.
 *
 * <p>Thread-safe.
 */
@Singleton
public final class LocalDispatcher {

    private static final double AFFINITY_BOUND = 1.25;

    private final String dataCentre;
    private final Duration patience;
    private final EndpointPools pools;
    private final EndpointClient client;
    private final KeyRing keys;
    private final RequestMetrics metrics;
    private final EndpointSelector chooser = EndpointSelector.withBalanceFactor(AFFINITY_BOUND);

    /** Creates a dispatcher. */
    @Inject
    public LocalDispatcher(
            GatewaySettings settings,
            EndpointPools pools,
            EndpointClient client,
            KeyRing keys,
            RequestMetrics metrics) {
        this.dataCentre = settings.dataCentre();
        this.patience = settings.endpointPatience();
        this.pools = pools;
        this.client = client;
        this.keys = keys;
        this.metrics = metrics;
    }

    /**
     * Sends a request to one endpoint.
     *
     * @param tried endpoints that must not be chosen; the one that failed is added
     * @throws RequestFailedException if there is no answer
     */
    public Answer open(GatewayRequest request, Set<String> tried) throws RequestFailedException {
        FairQueue.Permit place = waitForPlace(request);
        boolean handedOver = false;
        try {
            keys.checkStillValid(request.keyId());
            EndpointState endpoint = choose(request, tried);
            EndpointSlot slot = new EndpointSlot(endpoint, place);
            handedOver = true;
            return send(request, endpoint, slot, tried);
        } finally {
            if (!handedOver) {
                place.close();
            }
        }
    }

    private FairQueue.Permit waitForPlace(GatewayRequest request) throws RequestFailedException {
        long started = System.nanoTime();
        try {
            return pools.queue(request.route().service())
                    .acquire(
                            request.account().name(), request.account().weight(), request.tokens(), request.timeLeft());
        } catch (QueueRejectedException e) {
            ErrorKind kind = switch (e.reason()) {
                case NO_ROOM -> ErrorKind.OVERLOADED;
                case DEADLINE -> ErrorKind.DEADLINE_TOO_CLOSE;
                case CLOSED -> ErrorKind.LEAVING;
            };
            throw new RequestFailedException(kind, e.getMessage(), e.expectedWait(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new RequestFailedException(ErrorKind.LEAVING, "interrupted while waiting", e);
        } finally {
            metrics.queued(request.route().service(), System.nanoTime() - started);
        }
    }

    private EndpointState choose(GatewayRequest request, Set<String> tried) throws RequestFailedException {
        EndpointSelection choice = chooser.select(
                pools.views(request.route().service(), dataCentre),
                request.affinity(),
                tried,
                ThreadLocalRandom.current());
        String name = choice.endpoint()
                .orElseThrow(() -> new RequestFailedException(
                        ErrorKind.NO_ENDPOINT,
                        "no endpoint of " + request.route().service() + " is available in " + dataCentre));
        EndpointState state = pools.state(name);
        if (state == null) {
            throw new RequestFailedException(ErrorKind.NO_ENDPOINT, "endpoint " + name + " has just been removed");
        }
        return state;
    }

    private Answer send(GatewayRequest request, EndpointState endpoint, EndpointSlot slot, Set<String> tried)
            throws RequestFailedException {
        URI address = URI.create(endpoint.endpoint().address() + request.path());
        EndpointRequest out = new EndpointRequest(
                request.id(),
                request.method(),
                address,
                request.contentType(),
                request.accept(),
                request.body(),
                request.idempotency(),
                patience);
        try {
            EndpointResponse answer = client.send(out);
            endpoint.health().recordSuccess();
            return new LocalAnswer(answer, dataCentre, slot);
        } catch (EndpointException e) {
            slot.failed();
            slot.close();
            tried.add(endpoint.endpoint().name());
            throw toFailure(e, endpoint.endpoint().name());
        }
    }

    private static RequestFailedException toFailure(EndpointException e, String endpoint) {
        ErrorKind kind = switch (e.reason()) {
            case NOT_SENT -> ErrorKind.NO_ENDPOINT;
            case FAILED -> ErrorKind.ENDPOINT_FAILED;
            case TIMED_OUT -> ErrorKind.TIMED_OUT;
        };
        return new RequestFailedException(kind, endpoint + ": " + e.getMessage(), e);
    }
}
