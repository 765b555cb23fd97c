package org.toucanlane.edge.fleet;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.toucanlane.coordination.snapshot.MonotonicReference;
import org.toucanlane.coordination.snapshot.Versioned;
import org.toucanlane.domain.serving.EndpointRegistration;
import org.toucanlane.domain.serving.EngineCapacity;
import org.toucanlane.domain.serving.ServingConfiguration;
import org.toucanlane.domain.serving.ServingService;
import org.toucanlane.edge.http.ChannelPool;
import org.toucanlane.edge.telemetry.DecisionLog;
import org.toucanlane.edge.telemetry.ResponseFaultLog;
import org.toucanlane.policy.capacity.ServiceSpeeds;

/**
 * This host's view of the fleet: the active configuration, the endpoints and the other hosts.
 *
 * <p>Invariants: the configuration version never decreases; an endpoint is used only while its newest entry has the
 * state {@code READY} and identifies the process for which the handle was created. Not thread-safe: confined to the
 * host's event loop, except that any thread may read the configuration.
 */
public final class Fleet implements FleetListener {

    /**
     * Time after a store outage in which endpoints whose entries expired meanwhile may register again, as documented by
     * the platform.
     */
    private static final Duration REREGISTRATION_GRACE_PERIOD = Duration.ofMillis(2_000);

    /** Time after a restoration of the store in which its entries may be older than what this host knows. */
    private static final Duration RESTORED_ENTRIES_TIME = Duration.ofSeconds(2);

    /**
     * Time for which the removal of an endpoint is remembered; longer than a restored store can be behind, and than the
     * entry of a process that has ended stays in it.
     */
    private static final Duration DEPARTURE_MEMORY = Duration.ofSeconds(30);

    /** Time after which a restored entry that is still in the store belongs to a process that runs. */
    private static final Duration RESTORED_ENTRY_EXPIRY = Duration.ofSeconds(8);

    /**
     * Time for which a host whose record is gone still counts among those that share a rate. After an outage of the store
     * the records of all hosts may be missing for a moment, and each host would take the whole rate for itself.
     */
    private static final Duration DEPARTED_HOST_SHARE_TIME = Duration.ofSeconds(5);

    /** Time in which a configuration that is in force on another host must arrive here, too. */
    private static final Duration MAX_CONFIGURATION_LAG = Duration.ofSeconds(3);

    /** Mean service time of an engine until one has been measured, in milliseconds. */
    private static final double INITIAL_ENGINE_MILLIS = 800;

    /** Mean service time of an endpoint without an engine profile until one has been measured, in milliseconds. */
    private static final double INITIAL_PLAIN_MILLIS = 40;

    private final EventLoop loop;
    private final DecisionLog log;
    private final String self;
    private final Map<String, String> regionOfDataCentre;
    private final ResponseFaultLog responseFaults;
    private final ConnectionPools pools;
    private final MonotonicReference<ServingConfiguration> configuration = new MonotonicReference<>();
    private final Map<String, EndpointHandle> endpoints = new HashMap<>();
    private final Map<String, List<EndpointHandle>> endpointsByService = new HashMap<>();
    private final Map<String, ServiceSpeeds> speedsByService = new HashMap<>();
    private final Map<String, HostHandle> hosts = new HashMap<>();
    private final Map<String, DepartedHost> departedHosts = new HashMap<>();
    private final Map<Integer, EndpointHandle> endpointsByTag = new HashMap<>();
    private final Map<Integer, HostHandle> hostsByTag = new HashMap<>();
    private final Set<String> evacuatedDataCentres = new HashSet<>();
    private final Set<String> expiredEntries = new HashSet<>();
    private final List<Consumer<ServingConfiguration>> configurationListeners = new ArrayList<>();
    private long storeRecoveredAt;
    private boolean hadStoreOutage;
    private boolean restored;
    private long restoredAt;
    private final Map<String, Departure> departures = new LinkedHashMap<>();
    private long versionElsewhere;
    private long versionElsewhereAt;

    /**
     * Creates an empty view.
     *
     * @param self name of this host
     * @param regionOfDataCentre region name by data centre name
     */
    public Fleet(EventLoop loop, DecisionLog log, String self, Map<String, String> regionOfDataCentre) {
        this.loop = loop;
        this.log = log;
        this.self = self;
        this.regionOfDataCentre = Map.copyOf(regionOfDataCentre);
        this.responseFaults = new ResponseFaultLog(log);
        this.pools = new ConnectionPools(loop, responseFaults);
    }

    /** Registers {@code listener} to be called with each new active configuration. */
    public void onConfiguration(Consumer<ServingConfiguration> listener) {
        configurationListeners.add(listener);
    }

    /** Returns the faults in the responses of endpoints and other hosts. */
    public ResponseFaultLog responseFaults() {
        return responseFaults;
    }

    /** Returns the active configuration, or empty before the first one has been received. Thread-safe. */
    public Optional<ServingConfiguration> configuration() {
        return configuration.get().map(Versioned::value);
    }

    /** Records that the store became reachable again at {@code time} after an outage. */
    public void storeRecovered(long time) {
        if (!hadStoreOutage || time - storeRecoveredAt > 0) {
            hadStoreOutage = true;
            storeRecoveredAt = time;
        }
    }

    /** Records at monotonic time {@code time} that the store was restored from an older copy and is about to be read. */
    public void storeRestored(long time) {
        storeRecovered(time);
        restored = true;
        restoredAt = time;
    }

    private boolean mayBeRestoredEntry() {
        return restored && System.nanoTime() - restoredAt < RESTORED_ENTRIES_TIME.toNanos();
    }

    /** Records that another host knows configuration {@code version} to be in force on some host. */
    public void recordConfigurationElsewhere(long version, long now) {
        if (version > versionElsewhere) {
            versionElsewhere = version;
            versionElsewhereAt = now;
        }
    }

    /** Returns the newest configuration version that is known to be in force on this or another host, or 0. */
    public long newestKnownConfiguration() {
        return Math.max(
                versionElsewhere,
                configuration().map(ServingConfiguration::version).orElse(0L));
    }

    /**
     * Returns whether another host has had a newer configuration for so long that it should have arrived here. The
     * store may have lost it, and this host may have started since.
     */
    public boolean isConfigurationOutdated(long now) {
        long own = configuration().map(ServingConfiguration::version).orElse(0L);
        return versionElsewhere > own && now - versionElsewhereAt > MAX_CONFIGURATION_LAG.toNanos();
    }

    @Override
    public void configurationChanged(ServingConfiguration next) {
        if (configuration.advance(new Versioned<>(next.version(), next))) {
            log.stateChange("configuration_in_force", "version", next.version());
            endpointsByService.clear();
            endpoints.values().forEach(endpoint -> {
                endpoint.setMemoryTokens(engineMemoryTokens(endpoint.entry().service()));
                indexByService(endpoint);
            });
            configurationListeners.forEach(listener -> listener.accept(next));
        }
    }

    private void indexByService(EndpointHandle endpoint) {
        endpointsByService
                .computeIfAbsent(endpoint.entry().service(), key -> new ArrayList<>())
                .add(endpoint);
    }

    @Override
    public void endpointChanged(String id, Optional<EndpointRegistration> entry) {
        EndpointHandle existing = endpoints.get(id);
        if (entry.isPresent() && isOutdated(existing, entry.get())) {
            log.stateChange("endpoint_entry_ignored", "endpoint", id, "reason", "the process is known to have left");
            return;
        }
        expiredEntries.remove(id);
        if (entry.isEmpty()) {
            departures.computeIfPresent(id, (key, departure) -> departure.withoutRestoredEntry());
            if (existing != null) {
                removeAfterGracePeriod(existing);
            }
        } else if (existing != null && existing.entry().isSameProcess(entry.get())) {
            boolean wasDraining = existing.isDraining();
            existing.update(entry.get());
            if (existing.isDraining() && !wasDraining) {
                log.stateChange("endpoint_draining", "endpoint", id);
            }
        } else {
            if (existing != null) {
                remove(existing, "replaced");
            }
            add(entry.get());
        }
    }

    /**
     * Returns whether {@code entry} is older than what is known about the endpoint. The start times of the processes
     * decide between two processes; a process that has announced that it leaves does not come back; and the entry of
     * any process that has left may come back with the restoration of the store.
     */
    private boolean isOutdated(EndpointHandle existing, EndpointRegistration entry) {
        if (existing != null) {
            return entry.isEarlierProcessThan(existing.entry());
        }
        Departure departure = departures.get(entry.id());
        if (departure == null || System.nanoTime() - departure.time() > DEPARTURE_MEMORY.toNanos()) {
            return false;
        }
        EndpointRegistration known = departure.entry();
        if (known.isSameProcess(entry) && !departure.announced() && mayBeRestoredEntry()) {
            reconsiderLater(entry, departure);
            return true;
        }
        return entry.isEarlierProcessThan(known)
                || known.startedAtMillis().isPresent() && known.isSameProcess(entry) && departure.announced();
    }

    /**
     * Accepts {@code entry} later if the endpoint has not been registered or removed again by then. The entry of a
     * process that no longer runs expires in the meantime.
     */
    private void reconsiderLater(EndpointRegistration entry, Departure departure) {
        departures.put(entry.id(), departure.withRestoredEntry());
        loop.schedule(
                () -> {
                    Departure current = departures.get(entry.id());
                    if (current != null && current.restoredEntry() && !endpoints.containsKey(entry.id())) {
                        departures.remove(entry.id());
                        add(entry);
                    }
                },
                RESTORED_ENTRY_EXPIRY.toNanos(),
                TimeUnit.NANOSECONDS);
    }

    /** Returns the memory of a service's engines in tokens, or 0 if the service is unknown or has no engine profile. */
    private long engineMemoryTokens(String service) {
        return configuration()
                .flatMap(current -> current.service(service))
                .flatMap(ServingService::engineCapacity)
                .map(EngineCapacity::kvCapacityTokens)
                .orElse(0L);
    }

    private ServiceSpeeds speedsOf(String service) {
        return speedsByService.computeIfAbsent(
                service,
                key -> new ServiceSpeeds(
                        engineMemoryTokens(key) > 0 ? INITIAL_ENGINE_MILLIS : INITIAL_PLAIN_MILLIS,
                        (endpoint, previous, slowdown) -> log.stateChange(
                                "endpoint_speed_changed",
                                "endpoint",
                                endpoint,
                                "previous_slowdown",
                                previous,
                                "slowdown",
                                slowdown)));
    }

    private void add(EndpointRegistration entry) {
        Optional<ServingService> service = configuration().flatMap(current -> current.service(entry.service()));
        ChannelPool pool = pools.forEndpoint(entry, service);
        EndpointHandle handle =
                new EndpointHandle(entry, pool, engineMemoryTokens(entry.service()), speedsOf(entry.service()));
        endpoints.put(entry.id(), handle);
        endpointsByTag.put(handle.tag(), handle);
        indexByService(handle);
        log.stateChange(
                "endpoint_added",
                "endpoint",
                entry.id(),
                "service",
                entry.service(),
                "cold_ms",
                entry.remainingColdStart().toMillis());
    }

    /**
     * Removes an endpoint whose entry is gone. After a store outage the removal is delayed by the rest of the grace
     * period, since the entry may merely have expired during the outage. Draining endpoints are removed immediately.
     */
    private void removeAfterGracePeriod(EndpointHandle existing) {
        long remaining =
                hadStoreOutage ? REREGISTRATION_GRACE_PERIOD.toNanos() - (System.nanoTime() - storeRecoveredAt) : 0;
        if (remaining <= 0 || existing.isDraining()) {
            remove(existing, "entry_removed");
            return;
        }
        EndpointRegistration expired = existing.entry();
        expiredEntries.add(expired.id());
        log.stateChange("endpoint_entry_lapsed", "endpoint", expired.id());
        loop.schedule(
                () -> {
                    if (expiredEntries.remove(expired.id()) && endpoints.get(expired.id()) == existing) {
                        remove(existing, "entry_not_back");
                    }
                },
                remaining,
                TimeUnit.NANOSECONDS);
    }

    private void remove(EndpointHandle handle, String reason) {
        long now = System.nanoTime();
        departures.values().removeIf(departure -> now - departure.time() > DEPARTURE_MEMORY.toNanos());
        departures.put(handle.id(), new Departure(handle.entry(), handle.isDraining(), false, now));
        handle.drain();
        endpoints.remove(handle.id(), handle);
        speedsOf(handle.entry().service()).remove(handle.speed());
        endpointsByTag.remove(handle.tag(), handle);
        List<EndpointHandle> siblings = endpointsByService.get(handle.entry().service());
        if (siblings != null) {
            siblings.remove(handle);
        }
        log.stateChange("endpoint_removed", "endpoint", handle.id(), "reason", reason);
    }

    @Override
    public void evacuationChanged(String dataCentre, boolean active) {
        boolean changed = active ? evacuatedDataCentres.add(dataCentre) : evacuatedDataCentres.remove(dataCentre);
        if (changed) {
            log.stateChange("evacuation", "data_centre", dataCentre, "active", active);
        }
        if (changed && !active) {
            endpoints.values().stream()
                    .filter(endpoint -> endpoint.entry().dataCentre().equals(dataCentre))
                    .forEach(this::markCold);
        }
    }

    /**
     * Applies the cold-start rate limit to an endpoint that received no requests for a while, as if it had just
     * started.
     */
    private void markCold(EndpointHandle endpoint) {
        configuration()
                .flatMap(current -> current.service(endpoint.entry().service()))
                .ifPresent(service -> endpoint.markCold(service.coldStartDuration()));
    }

    @Override
    public void hostChanged(String name, Optional<HostRecord> entry) {
        HostHandle existing = hosts.get(name);
        boolean same = existing != null && entry.isPresent() && existing.entry().equals(entry.get());
        boolean outdated = existing != null
                && entry.isPresent()
                && mayBeRestoredEntry()
                && entry.get().incarnation() < existing.entry().incarnation();
        if (same || outdated || name.equals(self)) {
            return;
        }
        if (existing != null) {
            hosts.remove(name);
            hostsByTag.remove(HostHandle.tagOf(name));
            existing.pool().close();
            endpoints.values().forEach(endpoint -> endpoint.removeRemoteUsage(name));
            departedHosts.put(name, new DepartedHost(existing.entry().region(), System.nanoTime()));
            log.stateChange("host_removed", "host", name);
        }
        entry.ifPresent(record -> {
            HostHandle handle = new HostHandle(record, pools.forHost(record));
            hosts.put(name, handle);
            hostsByTag.put(HostHandle.tagOf(name), handle);
            departedHosts.remove(name);
            log.stateChange("host_added", "host", name, "region", record.region());
        });
    }

    @Override
    public void endpointUnreadable(String id, String reason) {
        log.stateChange("endpoint_unreadable", "endpoint", id, "reason", reason);
        EndpointHandle existing = endpoints.get(id);
        if (existing != null) {
            remove(existing, "entry_unreadable");
        }
    }

    @Override
    public void valueUnreadable(String key, String reason) {
        log.stateChange("value_unreadable", "key", key, "reason", reason);
    }

    /** Returns the registered endpoints of a service in all regions, including those that drain. */
    public List<EndpointHandle> endpointsOf(String service) {
        return endpointsByService.getOrDefault(service, List.of());
    }

    /** Returns the endpoint with this id, or empty if it is unknown. */
    public Optional<EndpointHandle> endpoint(String id) {
        return Optional.ofNullable(endpoints.get(id));
    }

    /** Returns all registered endpoints. */
    public Collection<EndpointHandle> endpoints() {
        return endpoints.values();
    }

    /** Returns the other hosts whose records are in the store. */
    public Collection<HostHandle> hosts() {
        return hosts.values();
    }

    /**
     * Returns the names of the other hosts of {@code region} that share the rates of its endpoints: those whose records are
     * in the store, and those whose records were until shortly before monotonic time {@code now}.
     */
    public List<String> hostsSharingRates(String region, long now) {
        departedHosts.values().removeIf(host -> now - host.time() > DEPARTED_HOST_SHARE_TIME.toNanos());
        Stream<String> registered = hosts.values().stream()
                .map(HostHandle::entry)
                .filter(host -> host.region().equals(region))
                .map(HostRecord::name);
        Stream<String> departed = departedHosts.entrySet().stream()
                .filter(host -> host.getValue().region().equals(region))
                .map(Map.Entry::getKey);
        return Stream.concat(registered, departed).toList();
    }

    /** Returns another host by name, or empty if it has no record in the store. */
    public Optional<HostHandle> host(String name) {
        return Optional.ofNullable(hosts.get(name));
    }

    /** Returns the endpoint that {@code tag} identifies in load reports, or empty if it is unknown. */
    public Optional<EndpointHandle> endpointByTag(int tag) {
        return Optional.ofNullable(endpointsByTag.get(tag));
    }

    /** Returns the host that {@code tag} identifies in load reports, or empty if it has no record in the store. */
    public Optional<HostHandle> hostByTag(int tag) {
        return Optional.ofNullable(hostsByTag.get(tag));
    }

    /** Returns whether the data centre is evacuated, so that its endpoints must not get new requests. */
    public boolean isEvacuated(String dataCentre) {
        return evacuatedDataCentres.contains(dataCentre);
    }

    /** Returns the region of a data centre; a data centre without a configured region forms its own region. */
    public String regionOf(String dataCentre) {
        return regionOfDataCentre.getOrDefault(dataCentre, dataCentre);
    }

    /** Returns the region of an endpoint. */
    public String regionOf(EndpointHandle endpoint) {
        return regionOf(endpoint.entry().dataCentre());
    }

    /**
     * The removal of an endpoint's process.
     *
     * @param entry last entry of the process
     * @param announced whether the process had announced that it leaves
     * @param restoredEntry whether the entry came back with the restoration of the store, and is to be reconsidered
     * @param time monotonic time of the removal
     */
    private record Departure(EndpointRegistration entry, boolean announced, boolean restoredEntry, long time) {

        private Departure withRestoredEntry() {
            return new Departure(entry, announced, true, time);
        }

        private Departure withoutRestoredEntry() {
            return new Departure(entry, announced, false, time);
        }
    }

    /**
     * A host whose record is gone.
     *
     * @param region region of the host
     * @param time monotonic time at which the record was removed
     */
    private record DepartedHost(String region, long time) {}

    /** Closes connections to endpoints and hosts that exceeded their idle timeout. */
    public void closeExpiredConnections() {
        endpoints.values().forEach(endpoint -> endpoint.pool().closeExpired());
        hosts.values().forEach(host -> host.pool().closeExpired());
    }
}
