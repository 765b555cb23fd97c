package org.toucanlane.domain.configuration;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;

/**
 * The deserialized form of a configuration file. Omitted lists and maps are empty; omitted optional values are null.
 *
 * @param name unique name; the service's name if the file has endpoints
 */
@JsonIgnoreProperties("$schema")
record ServiceFile(
        String name,
        List<RegionEntry> regions,
        List<EndpointEntry> endpoints,
        List<RouteEntry> routes,
        List<AccountEntry> accounts) {

    ServiceFile {
        regions = orEmpty(regions);
        endpoints = orEmpty(endpoints);
        routes = orEmpty(routes);
        accounts = orEmpty(accounts);
    }

    private static <T> List<T> orEmpty(List<T> list) {
        return list == null ? List.of() : List.copyOf(list);
    }

    /** A region with its data centres. */
    record RegionEntry(String name, List<DataCentreEntry> dataCentres) {}

    /** A data centre with the names of its hosts. */
    record DataCentreEntry(String name, List<String> hosts) {}

    /** An endpoint of the file's service. */
    record EndpointEntry(String name, String dataCentre, String address, Integer capacity) {}

    /** A route to the file's service. */
    record RouteEntry(
            String name,
            List<String> models,
            String path,
            Map<String, String> methods,
            List<String> accounts,
            boolean open,
            List<String> residency) {

        RouteEntry {
            models = orEmpty(models);
            methods = methods == null ? Map.of() : Map.copyOf(methods);
            accounts = orEmpty(accounts);
            residency = orEmpty(residency);
        }
    }

    /** A client account. */
    record AccountEntry(
            String name,
            long tokensPerSecond,
            long burstTokens,
            @JsonProperty(defaultValue = "1") Integer weight,
            Map<String, Integer> shares,
            List<String> residency,
            List<KeyEntry> keys) {

        AccountEntry {
            weight = weight == null ? 1 : weight;
            shares = shares == null ? Map.of() : Map.copyOf(shares);
            residency = orEmpty(residency);
            keys = orEmpty(keys);
        }
    }

    /** The id and hash of an API key. */
    record KeyEntry(String id, String hash) {}
}
