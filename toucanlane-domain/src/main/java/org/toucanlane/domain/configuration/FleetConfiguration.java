package org.toucanlane.domain.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.Maps;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.toucanlane.coordination.hash.HashedNodes;
import org.toucanlane.coordination.share.HostShare;
import org.toucanlane.coordination.share.ShareLimit;
import org.toucanlane.coordination.share.ShareSplit;
import org.toucanlane.domain.account.ApiKey;
import org.toucanlane.domain.account.ClientAccount;
import org.toucanlane.domain.fleet.DataCentre;
import org.toucanlane.domain.fleet.Endpoint;
import org.toucanlane.domain.route.Route;

/**
 * The complete configuration of the fleet, assembled from operators' files and validated as a whole.
 *
 * <p>Invariants: names are unique; every data centre, account and service that is referenced exists; every account has
 * at least one allowed data centre; shares are held only within the account's residency. Immutable; read without locks
 * on the request path.
 */
public final class FleetConfiguration {

    private final ImmutableSortedMap<String, DataCentre> dataCentres;
    private final ImmutableMap<String, Endpoint> endpoints;
    private final ImmutableMap<String, ImmutableList<Endpoint>> endpointsByService;
    private final ImmutableSortedMap<String, Route> routes;
    private final ImmutableMap<String, Route> routesByModel;
    private final ImmutableSortedMap<String, ClientAccount> accounts;
    private final ImmutableMap<String, ApiKey> keys;

    FleetConfiguration(
            Map<String, DataCentre> dataCentres,
            Map<String, Endpoint> endpoints,
            Map<String, Route> routes,
            Map<String, ClientAccount> accounts,
            Map<String, ApiKey> keys) {
        this.dataCentres = ImmutableSortedMap.copyOf(dataCentres);
        this.endpoints = ImmutableMap.copyOf(endpoints);
        this.endpointsByService = groupByService(endpoints.values());
        this.routes = ImmutableSortedMap.copyOf(routes);
        this.routesByModel = indexByModel(routes.values());
        this.accounts = ImmutableSortedMap.copyOf(accounts);
        this.keys = ImmutableMap.copyOf(keys);
    }

    private static ImmutableMap<String, ImmutableList<Endpoint>> groupByService(Collection<Endpoint> endpoints) {
        ImmutableListMultimap<String, Endpoint> grouped = endpoints.stream()
                .sorted(Comparator.comparing(Endpoint::name))
                .collect(ImmutableListMultimap.toImmutableListMultimap(Endpoint::service, endpoint -> endpoint));
        return ImmutableMap.copyOf(Maps.transformValues(grouped.asMap(), ImmutableList::copyOf));
    }

    private static ImmutableMap<String, Route> indexByModel(Collection<Route> routes) {
        ImmutableMap.Builder<String, Route> byModel = ImmutableMap.builder();
        routes.forEach(route -> route.models().forEach(model -> byModel.put(model, route)));
        return byModel.buildOrThrow();
    }

    /**
     * Assembles a configuration from documents.
     *
     * @throws InvalidConfigurationException with all problems, if the documents are inconsistent with each other
     */
    public static FleetConfiguration assemble(Collection<ServiceDocument> documents)
            throws InvalidConfigurationException {
        return new ConfigurationAssembler(documents).assemble();
    }

    /** Returns the data centres by name. */
    public Map<String, DataCentre> dataCentres() {
        return dataCentres;
    }

    /** Returns the accounts by name. */
    public Map<String, ClientAccount> accounts() {
        return accounts;
    }

    /** Returns the routes by name. */
    public Map<String, Route> routes() {
        return routes;
    }

    /** Returns the endpoints by name. */
    public Map<String, Endpoint> endpoints() {
        return endpoints;
    }

    /** Returns the endpoints of {@code service}, sorted by name. */
    public List<Endpoint> endpointsOf(String service) {
        return endpointsByService.getOrDefault(service, ImmutableList.of());
    }

    /** Returns the endpoints of {@code service} in {@code dataCentre}, sorted by name. */
    public List<Endpoint> endpointsOf(String service, String dataCentre) {
        return endpointsOf(service).stream()
                .filter(endpoint -> endpoint.dataCentre().equals(dataCentre))
                .toList();
    }

    /** Returns the API key with the public part {@code id}. */
    public Optional<ApiKey> key(String id) {
        return Optional.ofNullable(keys.get(id));
    }

    /** Returns all API keys by their public part. */
    public Map<String, ApiKey> keys() {
        return keys;
    }

    /** Returns the route that serves {@code model}. */
    public Optional<Route> routeForModel(String model) {
        return Optional.ofNullable(routesByModel.get(model));
    }

    /** Returns the route to {@code service} with the longest prefix of {@code path}. */
    public Optional<Route> routeForPath(String service, String path) {
        return routes.values().stream()
                .filter(route -> route.service().equals(service) && route.matchesPath(path))
                .max(Comparator.comparingInt(route -> route.pathPrefix().length()));
    }

    /** Returns the models that {@code account} is permitted to use, sorted. */
    public List<String> modelsFor(String account) {
        return routes.values().stream()
                .filter(route -> route.allows(account))
                .flatMap(route -> route.models().stream())
                .sorted()
                .toList();
    }

    /** Returns the data centres in which a request of {@code account} on {@code route} may be executed. */
    public Set<String> allowedDataCentres(ClientAccount account, Route route) {
        return account.allowedDataCentres().stream()
                .filter(route.allowedDataCentres()::contains)
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns the names of all hosts. */
    public Set<String> hosts() {
        return dataCentres.values().stream()
                .flatMap(dataCentre -> dataCentre.hosts().stream())
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns the hosts' shares of each account's limit, by account name. */
    public Map<String, List<HostShare>> shareHolders() {
        ImmutableMap<String, HashedNodes> hostsByDataCentre = dataCentres.values().stream()
                .collect(ImmutableMap.toImmutableMap(
                        DataCentre::name, dataCentre -> HashedNodes.of(dataCentre.hosts())));
        return accounts.values().stream()
                .collect(ImmutableMap.toImmutableMap(
                        ClientAccount::name,
                        account -> ShareSplit.of(
                                account.name(),
                                new ShareLimit(account.tokensPerSecond(), account.burstTokens()),
                                account.shares(),
                                hostsByDataCentre)));
    }

    /** Returns the names of all services with endpoints or routes. */
    public Set<String> services() {
        return Stream.concat(
                        endpoints.values().stream().map(Endpoint::service),
                        routes.values().stream().map(Route::service))
                .collect(ImmutableSet.toImmutableSet());
    }
}
