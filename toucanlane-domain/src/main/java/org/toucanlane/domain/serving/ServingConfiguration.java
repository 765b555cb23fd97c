package org.toucanlane.domain.serving;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * An immutable version of the serving configuration, indexed for lookups on the request path.
 *
 * <p>Invariant: the routes of a host name are ordered by descending prefix length. Thread-safe.
 */
public final class ServingConfiguration {

    private final long version;
    private final ImmutableListMultimap<String, ServingRoute> routesByHostName;
    private final ImmutableMap<String, ServingService> services;
    private final ImmutableMap<String, ServingAccount> accounts;
    private final ImmutableMap<String, ServingAccount> accountsByKey;
    private final ImmutableMap<String, RouteBounds> boundsByService;
    private final CallerLimits callerLimits;

    private ServingConfiguration(
            long version,
            Collection<ServingRoute> routes,
            Collection<ServingService> services,
            Map<String, ServingAccount> accountsByKey,
            Collection<ServingAccount> accounts,
            CallerLimits limits) {
        this.version = version;
        this.routesByHostName = routes.stream()
                .sorted(Comparator.comparingInt(
                        (ServingRoute route) -> -route.pathPrefix().length()))
                .collect(ImmutableListMultimap.toImmutableListMultimap(
                        route -> route.hostName().toLowerCase(Locale.ROOT), route -> route));
        this.services = services.stream()
                .collect(ImmutableMap.toImmutableMap(ServingService::name, service -> service, (a, b) -> b));
        this.accounts = accounts.stream()
                .collect(ImmutableMap.toImmutableMap(ServingAccount::name, account -> account, (a, b) -> b));
        this.accountsByKey = ImmutableMap.copyOf(accountsByKey);
        this.boundsByService = routes.stream()
                .flatMap(route -> route.weightedServices().stream()
                        .map(share -> Map.entry(share.service(), RouteBounds.of(route))))
                .collect(ImmutableMap.toImmutableMap(Map.Entry::getKey, Map.Entry::getValue, RouteBounds::merge));
        this.callerLimits = limits;
    }

    /**
     * Creates a configuration.
     *
     * @param accountsByKey accounts by API key; empty if no route requires a key
     */
    public static ServingConfiguration of(
            long version,
            Collection<ServingRoute> routes,
            Collection<ServingService> services,
            Map<String, ServingAccount> accountsByKey,
            Collection<ServingAccount> accounts,
            CallerLimits limits) {
        return new ServingConfiguration(version, routes, services, accountsByKey, accounts, limits);
    }

    /** Returns the configuration version. */
    public long version() {
        return version;
    }

    /** Returns the route of the host name with the longest prefix of {@code path}, or empty if there is none. */
    public Optional<ServingRoute> route(String hostName, String path) {
        for (ServingRoute route : routesByHostName.get(hostName.toLowerCase(Locale.ROOT))) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns the routes of a host name, in descending order of prefix length. */
    public ImmutableList<ServingRoute> routesOf(String hostName) {
        return routesByHostName.get(hostName.toLowerCase(Locale.ROOT));
    }

    /** Returns the shortest latency objective of all routes, or empty if there is no route. */
    public Optional<Duration> shortestObjective() {
        return routesByHostName.values().stream()
                .map(ServingRoute::latencyObjective)
                .min(Comparator.naturalOrder());
    }

    /** Returns the service with the given name, or empty if there is none. */
    public Optional<ServingService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the strictest bounds over all routes to a service. */
    public RouteBounds boundsOf(String service) {
        return boundsByService.getOrDefault(service, RouteBounds.NONE);
    }

    /** Returns the account that owns the API key {@code key}, or empty if there is none. */
    public Optional<ServingAccount> accountOf(String key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }

    /** Returns the account with the given name, or empty if there is none. */
    public Optional<ServingAccount> account(String name) {
        return Optional.ofNullable(accounts.get(name));
    }

    /** Returns whether requests need an API key unless their route is open. */
    public boolean requiresKeys() {
        return !accounts.isEmpty();
    }

    /** Returns the names of all accounts. */
    public Set<String> accountNames() {
        return accounts.keySet();
    }

    /** Returns the limits for callers. */
    public CallerLimits callerLimits() {
        return callerLimits;
    }
}
