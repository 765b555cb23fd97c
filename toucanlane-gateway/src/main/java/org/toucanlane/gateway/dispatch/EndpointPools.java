package org.toucanlane.gateway.dispatch;

import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.toucanlane.domain.configuration.FleetConfiguration;
import org.toucanlane.domain.fleet.Endpoint;
import org.toucanlane.gateway.GatewaySettings;
import org.toucanlane.policy.queue.FairQueue;
import org.toucanlane.policy.routing.EndpointView;

/**
 * The state of every endpoint and the queue of every service, preserved across configuration versions.
 *
 * <p>Thread-safe. Each read of the endpoints sees a single configuration version.
 */
@Singleton
public final class EndpointPools {

    private static final int MAX_WAITING = 2_000;
    private static final int MAX_WAITING_PER_ACCOUNT = 500;
    private static final double LIMIT_TO_CAPACITY_RATIO = 1.25;

    /** A host may use at least the capacity divided by this, whatever load is reported for other hosts. */
    private static final int MIN_SHARE_DIVISOR = 8;

    private final String dataCentre;
    private final Map<String, FairQueue> queues = new ConcurrentHashMap<>();
    private volatile ImmutableMap<String, EndpointState> states = ImmutableMap.of();
    private volatile ImmutableListMultimap<PoolKey, EndpointState> pools = ImmutableListMultimap.of();

    /** Creates pools without endpoints. */
    @Inject
    public EndpointPools(GatewaySettings settings) {
        this.dataCentre = settings.dataCentre();
    }

    /** Applies the endpoints of a configuration version, preserving the state of unchanged endpoints. */
    public synchronized void apply(FleetConfiguration configuration) {
        ImmutableMap.Builder<String, EndpointState> updated = ImmutableMap.builder();
        for (Endpoint endpoint : configuration.endpoints().values()) {
            EndpointState previous = states.get(endpoint.name());
            boolean unchanged = previous != null && previous.endpoint().equals(endpoint);
            updated.put(endpoint.name(), unchanged ? previous : new EndpointState(endpoint));
        }
        states = updated.buildOrThrow();
        pools = states.values().stream()
                .collect(ImmutableListMultimap.toImmutableListMultimap(
                        state -> new PoolKey(
                                state.endpoint().service(), state.endpoint().dataCentre()),
                        state -> state));
    }

    /** Returns the state of {@code endpoint}, or null if there is no endpoint of that name. */
    public EndpointState state(String endpoint) {
        return states.get(endpoint);
    }

    /** Returns the states of the endpoints in this data centre. */
    public List<EndpointState> localEndpoints() {
        return states.values().stream()
                .filter(state -> state.endpoint().dataCentre().equals(dataCentre))
                .toList();
    }

    /** Returns views of the endpoints of {@code service} in {@code dataCentreName}. */
    public List<EndpointView> views(String service, String dataCentreName) {
        return pools.get(new PoolKey(service, dataCentreName)).stream()
                .map(EndpointState::view)
                .toList();
    }

    /** Returns the queue in front of the endpoints of {@code service} in this data centre. */
    FairQueue queue(String service) {
        return queues.computeIfAbsent(
                service, name -> new FairQueue(concurrencyLimit(name), MAX_WAITING, MAX_WAITING_PER_ACCOUNT));
    }

    /** Updates the concurrency limit of each queue from the capacity that other hosts leave, according to load reports. */
    public void refreshLimits() {
        queues.forEach((service, queue) -> queue.setLimit(concurrencyLimit(service)));
    }

    private int concurrencyLimit(String service) {
        List<EndpointView> views = views(service, dataCentre).stream()
                .filter(EndpointView::available)
                .toList();
        double capacity = views.stream().mapToInt(EndpointView::capacity).sum() * LIMIT_TO_CAPACITY_RATIO;
        int others = views.stream().mapToInt(EndpointView::othersRunning).sum();
        double minimum = Math.max(1, capacity / MIN_SHARE_DIVISOR);
        return (int) Math.max(minimum, capacity - others);
    }

    /** Closes the queues, which rejects all waiting and all later requests. */
    public void closeQueues() {
        queues.values().forEach(FairQueue::close);
    }

    /** Returns the number of requests from this process that are in flight at endpoints. */
    public int runningRequests() {
        return states.values().stream().mapToInt(EndpointState::running).sum();
    }

    /** The endpoints of one service in one data centre. */
    private record PoolKey(String service, String dataCentre) {}
}
