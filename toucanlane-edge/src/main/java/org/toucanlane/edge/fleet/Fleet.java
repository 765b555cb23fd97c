package org.toucanlane.edge.fleet;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.toucanlane.coordination.snapshot.MonotoneReference;
import org.toucanlane.coordination.snapshot.Versioned;
import org.toucanlane.domain.serving.EndpointRegistration;
import org.toucanlane.domain.serving.EngineCapacity;
import org.toucanlane.domain.serving.ServingConfiguration;
import org.toucanlane.domain.serving.ServingService;
import org.toucanlane.edge.http.ChannelPool;
import org.toucanlane.edge.http.PoolSettings;
import org.toucanlane.edge.telemetry.DecisionLog;

/**
 * What this host believes of the fleet.
 *
 * <p>Invariants: the configuration's version never decreases; an endpoint is used only while its newest entry says
 * {@code READY} and names the process that the handle was made for. Used on the host's event loop only, except that the
 * configuration may be read anywhere.
 */
public final class Fleet implements FleetChanges {

    /** Entries that lapse while the store is away may be back this long after its return; from the platform's pages. */
    private static final Duration RETURN_TIME = Duration.ofMillis(2_000);

    /** A connection within a region takes about a millisecond; a host that needs longer has lost the packet. */
    private static final Duration ENDPOINT_CONNECT_TIMEOUT = Duration.ofMillis(700);

    /** A connection between regions takes one round trip of up to some hundred milliseconds. */
    private static final Duration HOST_CONNECT_TIMEOUT = Duration.ofMillis(900);

    /** Idle time of endpoints that name none; shorter than the usual five seconds of servers. */
    private static final Duration ENDPOINT_IDLE_TIME = Duration.ofSeconds(3);

    /** Idle time of connections between hosts; shorter than the time after which a host closes them itself. */
    private static final Duration HOST_IDLE_TIME = Duration.ofSeconds(10);

    /** Connections to one other host: above the requests that one host can carry at once. */
    private static final int HOST_CONNECTIONS = 600;

    /** Connections to an endpoint whose service does not bound them. */
    private static final int DEFAULT_CONNECTIONS = 256;

    private static final int MAX_HEADER_BYTES = 32 << 10;

    private final EventLoop loop;
    private final DecisionLog log;
    private final String self;
    private final Map<String, String> regionOfDataCentre;
    private final MonotoneReference<ServingConfiguration> configuration = new MonotoneReference<>();
    private final Map<String, EndpointHandle> endpoints = new HashMap<>();
    private final Map<String, List<EndpointHandle>> byService = new HashMap<>();
    private final Map<String, HostHandle> hosts = new HashMap<>();
    private final Map<Integer, EndpointHandle> endpointsByTag = new HashMap<>();
    private final Map<Integer, HostHandle> hostsByTag = new HashMap<>();
    private final Set<String> evacuated = new HashSet<>();
    private final Set<String> lapsedEntries = new HashSet<>();
    private final List<Consumer<ServingConfiguration>> configurationListeners = new ArrayList<>();
    private long storeReturnedAt;
    private boolean storeWasAway;

    /**
     * Creates the view of a host that has heard nothing yet.
     *
     * @param self name of this host
     * @param regionOfDataCentre regions by the names of their data centres
     */
    public Fleet(EventLoop loop, DecisionLog log, String self, Map<String, String> regionOfDataCentre) {
        this.loop = loop;
        this.log = log;
        this.self = self;
        this.regionOfDataCentre = Map.copyOf(regionOfDataCentre);
    }

    /** Tells {@code listener} of each configuration that comes into force. */
    public void onConfiguration(Consumer<ServingConfiguration> listener) {
        configurationListeners.add(listener);
    }

    /** Returns the configuration in force, or empty before the first. Thread-safe. */
    public Optional<ServingConfiguration> configuration() {
        return configuration.get().map(Versioned::value);
    }

    /** Notes that at {@code time} the store could be reached again after a time in which it could not. */
    public void storeReturned(long time) {
        if (!storeWasAway || time - storeReturnedAt > 0) {
            storeWasAway = true;
            storeReturnedAt = time;
        }
    }

    @Override
    public void configuration(ServingConfiguration next) {
        if (configuration.advance(new Versioned<>(next.version(), next))) {
            log.belief("configuration_in_force", "version", next.version());
            byService.clear();
            endpoints.values().forEach(endpoint -> {
                endpoint.resize(memoryOf(endpoint.entry().service()));
                index(endpoint);
            });
            configurationListeners.forEach(listener -> listener.accept(next));
        }
    }

    private void index(EndpointHandle endpoint) {
        byService
                .computeIfAbsent(endpoint.entry().service(), key -> new ArrayList<>())
                .add(endpoint);
    }

    @Override
    public void endpoint(String id, Optional<EndpointRegistration> entry) {
        EndpointHandle known = endpoints.get(id);
        lapsedEntries.remove(id);
        if (entry.isEmpty()) {
            if (known != null) {
                removeInTime(known);
            }
        } else if (known != null && known.entry().isSameProcess(entry.get())) {
            boolean wasLeaving = known.isLeaving();
            known.update(entry.get());
            if (known.isLeaving() && !wasLeaving) {
                log.belief("endpoint_draining", "endpoint", id);
            }
        } else {
            if (known != null) {
                retire(known, "replaced");
            }
            add(entry.get());
        }
    }

    /** Returns the memory of a service's engines in tokens, or 0 for a plain or unknown service. */
    private long memoryOf(String service) {
        return configuration()
                .flatMap(now -> now.service(service))
                .flatMap(ServingService::engineCapacity)
                .map(EngineCapacity::kvCapacityTokens)
                .orElse(0L);
    }

    private void add(EndpointRegistration entry) {
        Optional<ServingService> service = configuration().flatMap(now -> now.service(entry.service()));
        int connections = service.map(ServingService::maxConnections)
                .filter(bound -> bound > 0)
                .orElse(DEFAULT_CONNECTIONS);
        PoolSettings settings =
                new PoolSettings(ENDPOINT_CONNECT_TIMEOUT, ENDPOINT_IDLE_TIME, connections, MAX_HEADER_BYTES);
        ChannelPool pool = new ChannelPool(new InetSocketAddress(entry.address(), entry.port()), loop, settings);
        EndpointHandle handle = new EndpointHandle(entry, pool, memoryOf(entry.service()));
        endpoints.put(entry.id(), handle);
        endpointsByTag.put(handle.tag(), handle);
        index(handle);
        log.belief(
                "endpoint_added",
                "endpoint",
                entry.id(),
                "service",
                entry.service(),
                "cold_ms",
                entry.remainingColdStart().toMillis());
    }

    /** Removes an endpoint; at once, unless its entry may only have lapsed while the store was away. */
    private void removeInTime(EndpointHandle known) {
        long left = storeWasAway ? RETURN_TIME.toNanos() - (System.nanoTime() - storeReturnedAt) : 0;
        if (left <= 0 || known.isLeaving()) {
            retire(known, "entry_removed");
            return;
        }
        EndpointRegistration lapsed = known.entry();
        lapsedEntries.add(lapsed.id());
        log.belief("endpoint_entry_lapsed", "endpoint", lapsed.id());
        loop.schedule(
                () -> {
                    if (lapsedEntries.remove(lapsed.id()) && endpoints.get(lapsed.id()) == known) {
                        retire(known, "entry_not_back");
                    }
                },
                left,
                TimeUnit.NANOSECONDS);
    }

    private void retire(EndpointHandle handle, String why) {
        handle.leave();
        endpoints.remove(handle.id(), handle);
        endpointsByTag.remove(handle.tag(), handle);
        List<EndpointHandle> siblings = byService.get(handle.entry().service());
        if (siblings != null) {
            siblings.remove(handle);
        }
        log.belief("endpoint_removed", "endpoint", handle.id(), "reason", why);
    }

    @Override
    public void evacuation(String dataCentre, boolean active) {
        boolean changed = active ? evacuated.add(dataCentre) : evacuated.remove(dataCentre);
        if (changed) {
            log.belief("evacuation", "data_centre", dataCentre, "active", active);
        }
        if (changed && !active) {
            endpoints.values().stream()
                    .filter(endpoint -> endpoint.entry().dataCentre().equals(dataCentre))
                    .forEach(this::makeCold);
        }
    }

    /** Bounds the rate of an endpoint that got nothing for a while, as if it had just started. */
    private void makeCold(EndpointHandle endpoint) {
        configuration()
                .flatMap(now -> now.service(endpoint.entry().service()))
                .ifPresent(service -> endpoint.makeCold(service.coldStartDuration()));
    }

    @Override
    public void host(String name, Optional<HostRecord> entry) {
        HostHandle known = hosts.get(name);
        boolean same = known != null && entry.isPresent() && known.entry().equals(entry.get());
        if (same || name.equals(self)) {
            return;
        }
        if (known != null) {
            hosts.remove(name);
            hostsByTag.remove(HostHandle.tagOf(name));
            known.pool().close();
            endpoints.values().forEach(endpoint -> endpoint.dropReport(name));
            log.belief("host_removed", "host", name);
        }
        entry.ifPresent(record -> {
            PoolSettings settings =
                    new PoolSettings(HOST_CONNECT_TIMEOUT, HOST_IDLE_TIME, HOST_CONNECTIONS, MAX_HEADER_BYTES);
            InetSocketAddress address = new InetSocketAddress(record.address(), record.hopPort());
            HostHandle handle = new HostHandle(record, new ChannelPool(address, loop, settings));
            hosts.put(name, handle);
            hostsByTag.put(HostHandle.tagOf(name), handle);
            log.belief("host_added", "host", name, "region", record.region());
        });
    }

    @Override
    public void endpointUnreadable(String id, String reason) {
        log.belief("endpoint_unreadable", "endpoint", id, "reason", reason);
        EndpointHandle known = endpoints.get(id);
        if (known != null) {
            retire(known, "entry_unreadable");
        }
    }

    @Override
    public void unreadable(String key, String reason) {
        log.belief("value_unreadable", "key", key, "reason", reason);
    }

    /** Returns the endpoints of a service that are not leaving, in all regions. */
    public List<EndpointHandle> endpointsOf(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /** Returns the endpoint of that name, or empty if it is not known. */
    public Optional<EndpointHandle> endpoint(String id) {
        return Optional.ofNullable(endpoints.get(id));
    }

    /** Returns all endpoints. */
    public Collection<EndpointHandle> endpoints() {
        return endpoints.values();
    }

    /** Returns the other hosts that hold a lease. */
    public Collection<HostHandle> hosts() {
        return hosts.values();
    }

    /** Returns another host, or empty if it holds no lease. */
    public Optional<HostHandle> host(String name) {
        return Optional.ofNullable(hosts.get(name));
    }

    /** Returns the endpoint that {@code tag} stands for in reports, or empty if none is known. */
    public Optional<EndpointHandle> endpointOfTag(int tag) {
        return Optional.ofNullable(endpointsByTag.get(tag));
    }

    /** Returns the other host that {@code tag} stands for in reports, or empty if it holds no lease. */
    public Optional<HostHandle> hostOfTag(int tag) {
        return Optional.ofNullable(hostsByTag.get(tag));
    }

    /** Returns whether endpoints of {@code dataCentre} are to get nothing. */
    public boolean isEvacuated(String dataCentre) {
        return evacuated.contains(dataCentre);
    }

    /** Returns the region of a data centre; a data centre of which the settings say nothing is a region of its own. */
    public String regionOf(String dataCentre) {
        return regionOfDataCentre.getOrDefault(dataCentre, dataCentre);
    }

    /** Returns the region of an endpoint. */
    public String regionOf(EndpointHandle endpoint) {
        return regionOf(endpoint.entry().dataCentre());
    }

    /** Closes connections that have been idle for too long. */
    public void closeExpiredConnections() {
        endpoints.values().forEach(endpoint -> endpoint.pool().closeExpired());
        hosts.values().forEach(host -> host.pool().closeExpired());
    }
}
