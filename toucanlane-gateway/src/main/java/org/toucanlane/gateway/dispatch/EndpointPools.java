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
 * State of every endpoint and the queue of every service, kept across versions of the configuration.
 *
 * <p>Thread-safe; readers see one version whole.
 */
@Singleton
public final class EndpointPools {

    private static final int MAX_WAITING = 2_000;
    private static final int MAX_WAITING_PER_ACCOUNT = 500;
    private static final double LIMIT_TO_CAPACITY_RATIO = 1.25;

    /** A host keeps at least this fraction of the capacity, however busy others seem. */
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

    /** Takes over the endpoints of a version, keeping what is known of those that stay as they were. */
    public synchronized void apply(FleetConfiguration configuration) {
        ImmutableMap.Builder<String, EndpointState> next = ImmutableMap.builder();
        for (Endpoint endpoint : configuration.endpoints().values()) {
            EndpointState known = states.get(endpoint.name());
            boolean same = known != null && known.endpoint().equals(endpoint);
            next.put(endpoint.name(), same ? known : new EndpointState(endpoint));
        }
        states = next.buildOrThrow();
        pools = states.values().stream()
                .collect(ImmutableListMultimap.toImmutableListMultimap(
                        state -> new PoolKey(
                                state.endpoint().service(), state.endpoint().dataCentre()),
                        state -> state));
    }

    /** Returns the state of {@code endpoint}, or null if there is none of that name. */
    public EndpointState state(String endpoint) {
        return states.get(endpoint);
    }

    /** Returns the states of the endpoints in this data centre. */
    public List<EndpointState> localEndpoints() {
        return states.values().stream()
                .filter(state -> state.endpoint().dataCentre().equals(dataCentre))
                .toList();
    }

    /** Returns what is known of the endpoints of {@code service} in {@code centre}. */
    public List<EndpointView> views(String service, String centre) {
        return pools.get(new PoolKey(service, centre)).stream()
                .map(EndpointState::view)
                .toList();
    }

    /** Returns the queue in front of the endpoints of {@code service} in this data centre. */
    FairQueue queue(String service) {
        return queues.computeIfAbsent(
                service, name -> new FairQueue(concurrencyLimit(name), MAX_WAITING, MAX_WAITING_PER_ACCOUNT));
    }

    /** Fits the queues' limits to the capacity that other hosts are believed to leave. */
    public void refreshLimits() {
        queues.forEach((service, queue) -> queue.setLimit(concurrencyLimit(service)));
    }

    private int concurrencyLimit(String service) {
        List<EndpointView> views = views(service, dataCentre).stream()
                .filter(EndpointView::available)
                .toList();
        double capacity = views.stream().mapToInt(EndpointView::capacity).sum() * LIMIT_TO_CAPACITY_RATIO;
        int others = views.stream().mapToInt(EndpointView::othersRunning).sum();
        double least = Math.max(1, capacity / MIN_SHARE_DIVISOR);
        return (int) Math.max(least, capacity - others);
    }

    /** Refuses all that wait. */
    public void closeQueues() {
        queues.values().forEach(FairQueue::close);
    }

    /** Returns how many requests of this process are at endpoints. */
    public int runningRequests() {
        return states.values().stream().mapToInt(EndpointState::running).sum();
    }

    /** The endpoints of one service in one data centre. */
    private record PoolKey(String service, String dataCentre) {}
}
