package org.toucanlane.domain.configuration;

import java.net.URI;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.toucanlane.domain.account.ApiKey;
import org.toucanlane.domain.account.ClientAccount;
import org.toucanlane.domain.fleet.DataCentre;
import org.toucanlane.domain.fleet.Endpoint;
import org.toucanlane.domain.route.Idempotency;
import org.toucanlane.domain.route.Route;

/**
 * Assembles a {@link FleetConfiguration} from documents and collects all validation problems. Single use; not
 * thread-safe.
 */
final class ConfigurationAssembler {

    private static final int DEFAULT_CAPACITY = 8;

    private final List<ServiceDocument> documents;
    private final List<Problem> problems = new ArrayList<>();
    private final Map<String, String> fileByRegisteredName = new HashMap<>();
    private final Map<String, DataCentre> dataCentres = new LinkedHashMap<>();
    private final Map<String, Set<String>> regions = new LinkedHashMap<>();
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private final Map<String, Route> routes = new LinkedHashMap<>();
    private final Map<String, ClientAccount> accounts = new LinkedHashMap<>();
    private final Map<String, ApiKey> keys = new LinkedHashMap<>();

    ConfigurationAssembler(Collection<ServiceDocument> documents) {
        this.documents = documents.stream()
                .sorted(Comparator.comparing(ServiceDocument::name))
                .toList();
    }

    FleetConfiguration assemble() throws InvalidConfigurationException {
        documents.forEach(document -> registerName(document, "/name", "file", document.name()));
        documents.forEach(this::addRegions);
        documents.forEach(this::addEndpoints);
        documents.forEach(this::addAccounts);
        documents.forEach(this::addRoutes);
        if (!problems.isEmpty()) {
            throw new InvalidConfigurationException(problems);
        }
        return new FleetConfiguration(dataCentres, endpoints, routes, accounts, keys);
    }

    private boolean registerName(ServiceDocument document, String pointer, String kind, String name) {
        String existingFile = fileByRegisteredName.putIfAbsent(kind + ' ' + name, document.fileName());
        if (existingFile != null) {
            addProblem(
                    document,
                    pointer,
                    "the " + kind + " \"" + name + "\" is already defined in " + existingFile,
                    "choose another name");
        }
        return existingFile == null;
    }

    private void addProblem(ServiceDocument document, String pointer, String message, String hint) {
        problems.add(document.problemAt(pointer, message, hint));
    }

    private void addRegions(ServiceDocument document) {
        List<ServiceFile.RegionEntry> entries = document.file().regions();
        for (int i = 0; i < entries.size(); i++) {
            ServiceFile.RegionEntry region = entries.get(i);
            String pointer = "/regions/" + i;
            registerName(document, pointer + "/name", "region or data centre", region.name());
            regions.put(region.name(), new LinkedHashSet<>());
            for (int j = 0; j < region.dataCentres().size(); j++) {
                addDataCentre(
                        document,
                        pointer + "/dataCentres/" + j,
                        region.name(),
                        region.dataCentres().get(j));
            }
        }
    }

    private void addDataCentre(
            ServiceDocument document, String pointer, String region, ServiceFile.DataCentreEntry entry) {
        if (registerName(document, pointer + "/name", "region or data centre", entry.name())) {
            regions.get(region).add(entry.name());
            dataCentres.put(entry.name(), new DataCentre(entry.name(), region, entry.hosts()));
        }
        for (int i = 0; i < entry.hosts().size(); i++) {
            registerName(
                    document, pointer + "/hosts/" + i, "host", entry.hosts().get(i));
        }
    }

    private void addEndpoints(ServiceDocument document) {
        List<ServiceFile.EndpointEntry> entries = document.file().endpoints();
        for (int i = 0; i < entries.size(); i++) {
            ServiceFile.EndpointEntry entry = entries.get(i);
            String pointer = "/endpoints/" + i;
            registerName(document, pointer + "/name", "endpoint", entry.name());
            if (!dataCentres.containsKey(entry.dataCentre())) {
                reportUnknownName(
                        document, pointer + "/dataCentre", "data centre", entry.dataCentre(), dataCentres.keySet());
            }
            int capacity = entry.capacity() == null ? DEFAULT_CAPACITY : entry.capacity();
            endpoints.put(
                    entry.name(),
                    new Endpoint(
                            entry.name(), document.name(), entry.dataCentre(), URI.create(entry.address()), capacity));
        }
    }

    private void reportUnknownName(
            ServiceDocument document, String pointer, String kind, String name, Collection<String> knownNames) {
        String hint = NameSuggester.suggest(name, knownNames)
                .map(suggestion -> "did you mean \"" + suggestion + "\"?")
                .orElse("known names: " + knownNames.stream().sorted().collect(Collectors.joining(", ")));
        addProblem(document, pointer, "unknown " + kind + " \"" + name + '"', hint);
    }

    private Set<String> resolveResidency(ServiceDocument document, String pointer, List<String> residency) {
        if (residency.isEmpty()) {
            return dataCentres.keySet();
        }
        Set<String> resolved = new LinkedHashSet<>();
        for (int i = 0; i < residency.size(); i++) {
            String name = residency.get(i);
            if (regions.containsKey(name)) {
                resolved.addAll(regions.get(name));
            } else if (dataCentres.containsKey(name)) {
                resolved.add(name);
            } else {
                List<String> knownNames = new ArrayList<>(regions.keySet());
                knownNames.addAll(dataCentres.keySet());
                reportUnknownName(document, pointer + '/' + i, "region or data centre", name, knownNames);
            }
        }
        return resolved;
    }

    private void addAccounts(ServiceDocument document) {
        List<ServiceFile.AccountEntry> entries = document.file().accounts();
        for (int i = 0; i < entries.size(); i++) {
            ServiceFile.AccountEntry entry = entries.get(i);
            String pointer = "/accounts/" + i;
            registerName(document, pointer + "/name", "account", entry.name());
            Set<String> allowed = resolveResidency(document, pointer + "/residency", entry.residency());
            accounts.put(
                    entry.name(),
                    new ClientAccount(
                            entry.name(),
                            entry.tokensPerSecond(),
                            entry.burstTokens(),
                            entry.weight(),
                            sharesOf(document, pointer + "/shares", entry, allowed),
                            allowed));
            addKeys(document, pointer + "/keys/", entry);
        }
    }

    private Map<String, Integer> sharesOf(
            ServiceDocument document, String pointer, ServiceFile.AccountEntry entry, Set<String> allowed) {
        if (entry.shares().isEmpty()) {
            return allowed.stream().collect(Collectors.toMap(dataCentre -> dataCentre, dataCentre -> 1));
        }
        entry.shares().keySet().stream()
                .filter(dataCentre -> !allowed.contains(dataCentre))
                .sorted()
                .forEach(dataCentre -> reportUnknownName(
                        document, pointer + '/' + dataCentre, "data centre in the residency", dataCentre, allowed));
        if (entry.shares().values().stream().allMatch(weight -> weight == 0)) {
            addProblem(document, pointer, "all shares are zero", "set a positive weight for at least one data centre");
        }
        return entry.shares();
    }

    private void addKeys(ServiceDocument document, String pointer, ServiceFile.AccountEntry entry) {
        for (int i = 0; i < entry.keys().size(); i++) {
            ServiceFile.KeyEntry key = entry.keys().get(i);
            registerName(document, pointer + i + "/id", "key", key.id());
            keys.put(key.id(), new ApiKey(key.id(), entry.name(), key.hash()));
        }
    }

    private void addRoutes(ServiceDocument document) {
        List<ServiceFile.RouteEntry> entries = document.file().routes();
        for (int i = 0; i < entries.size(); i++) {
            ServiceFile.RouteEntry entry = entries.get(i);
            String pointer = "/routes/" + i;
            registerName(document, pointer + "/name", "route", entry.name());
            for (int j = 0; j < entry.models().size(); j++) {
                registerName(
                        document,
                        pointer + "/models/" + j,
                        "model",
                        entry.models().get(j));
            }
            for (int j = 0; j < entry.accounts().size(); j++) {
                if (!accounts.containsKey(entry.accounts().get(j))) {
                    String accountPointer = pointer + "/accounts/" + j;
                    reportUnknownName(
                            document,
                            accountPointer,
                            "account",
                            entry.accounts().get(j),
                            accounts.keySet());
                }
            }
            Set<String> allowed = resolveResidency(document, pointer + "/residency", entry.residency());
            routes.putIfAbsent(entry.name(), toRoute(document.name(), entry, allowed));
        }
    }

    private static Route toRoute(String service, ServiceFile.RouteEntry entry, Set<String> allowed) {
        Map<String, Idempotency> methods = entry.models().isEmpty()
                ? entry.methods().entrySet().stream()
                        .collect(Collectors.toMap(Map.Entry::getKey, method -> parseIdempotency(method.getValue())))
                : Map.of("POST", Idempotency.IDEMPOTENT);
        String path = entry.path() == null || entry.path().equals("/") ? "" : entry.path();
        return new Route(
                entry.name(),
                service,
                Set.copyOf(entry.models()),
                path,
                methods,
                Set.copyOf(entry.accounts()),
                entry.open(),
                allowed);
    }

    private static Idempotency parseIdempotency(String value) {
        return Idempotency.valueOf(value.replace('-', '_').toUpperCase(Locale.ROOT));
    }
}
