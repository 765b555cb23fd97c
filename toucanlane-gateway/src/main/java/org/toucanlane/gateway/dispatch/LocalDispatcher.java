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
import org.toucanlane.gateway.caller.ApiKeyAuthenticator;
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
 * Sends requests to the endpoints of the local data centre: waits for a queue permit, selects an endpoint, sends once.
 *
 * <p>Thread-safe.
 */
@Singleton
public final class LocalDispatcher {

    private static final double AFFINITY_BALANCE_FACTOR = 1.25;

    private final String dataCentre;
    private final Duration readTimeout;
    private final EndpointPools pools;
    private final EndpointClient client;
    private final ApiKeyAuthenticator keys;
    private final RequestMetrics metrics;
    private final EndpointSelector selector = EndpointSelector.withBalanceFactor(AFFINITY_BALANCE_FACTOR);

    /** Creates a dispatcher. */
    @Inject
    public LocalDispatcher(
            GatewaySettings settings,
            EndpointPools pools,
            EndpointClient client,
            ApiKeyAuthenticator keys,
            RequestMetrics metrics) {
        this.dataCentre = settings.dataCentre();
        this.readTimeout = settings.endpointPatience();
        this.pools = pools;
        this.client = client;
        this.keys = keys;
        this.metrics = metrics;
    }

    /**
     * Sends a request to one endpoint.
     *
     * @param tried endpoints to exclude; if sending to the selected endpoint fails, it is added
     * @throws RequestFailedException if no response was received
     */
    public GatewayResponse dispatch(GatewayRequest request, Set<String> tried) throws RequestFailedException {
        FairQueue.Permit permit = acquirePermit(request);
        boolean permitTransferred = false;
        try {
            keys.checkNotRevoked(request.keyId());
            EndpointState endpoint = selectEndpoint(request, tried);
            EndpointSlot slot = new EndpointSlot(endpoint, permit);
            permitTransferred = true;
            return send(request, endpoint, slot, tried);
        } finally {
            if (!permitTransferred) {
                permit.close();
            }
        }
    }

    private FairQueue.Permit acquirePermit(GatewayRequest request) throws RequestFailedException {
        long started = System.nanoTime();
        try {
            return pools.queue(request.route().service())
                    .acquire(
                            request.account().name(),
                            request.account().weight(),
                            request.tokens(),
                            request.remainingTime());
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
            metrics.recordQueueTime(request.route().service(), System.nanoTime() - started);
        }
    }

    private EndpointState selectEndpoint(GatewayRequest request, Set<String> tried) throws RequestFailedException {
        EndpointSelection selection = selector.select(
                pools.views(request.route().service(), dataCentre),
                request.affinity(),
                tried,
                ThreadLocalRandom.current());
        String name = selection
                .endpoint()
                .orElseThrow(() -> new RequestFailedException(
                        ErrorKind.NO_ENDPOINT,
                        "no endpoint of " + request.route().service() + " is available in " + dataCentre));
        EndpointState state = pools.state(name);
        if (state == null) {
            throw new RequestFailedException(ErrorKind.NO_ENDPOINT, "endpoint " + name + " has just been removed");
        }
        return state;
    }

    private GatewayResponse send(GatewayRequest request, EndpointState endpoint, EndpointSlot slot, Set<String> tried)
            throws RequestFailedException {
        URI address = URI.create(endpoint.endpoint().address() + request.path());
        EndpointRequest outgoing = new EndpointRequest(
                request.id(),
                request.method(),
                address,
                request.contentType(),
                request.accept(),
                request.body(),
                readTimeout);
        try {
            EndpointResponse response = client.send(outgoing);
            endpoint.health().recordSuccess();
            return new LocalResponse(response, dataCentre, slot);
        } catch (EndpointException e) {
            slot.recordFailure();
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
