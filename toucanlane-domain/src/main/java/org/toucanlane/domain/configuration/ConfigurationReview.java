package org.toucanlane.domain.configuration;

import com.google.common.collect.Sets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.toucanlane.domain.account.ClientAccount;
import org.toucanlane.domain.route.Route;

/**
 * Finds entries of valid files that can't have the effect for which they were written: routes and accounts that can never
 * match, and limits that contradict each other. Not thread-safe; used once.
 */
public final class ConfigurationReview {

    private final FleetConfiguration configuration;
    private final List<Problem> findings = new ArrayList<>();
    private final Map<String, String> routeByMatch = new HashMap<>();

    private ConfigurationReview(FleetConfiguration configuration) {
        this.configuration = configuration;
    }

    /**
     * Returns the findings in {@code documents}, by document in the given order.
     *
     * @throws InvalidConfigurationException with all problems, if the documents are inconsistent with each other
     */
    public static List<Problem> findings(Collection<ServiceDocument> documents) throws InvalidConfigurationException {
        ConfigurationReview review = new ConfigurationReview(FleetConfiguration.assemble(documents));
        documents.forEach(review::reviewRoutes);
        documents.forEach(review::reviewAccounts);
        return List.copyOf(review.findings);
    }

    private void reviewRoutes(ServiceDocument document) {
        List<ServiceFile.RouteEntry> entries = document.file().routes();
        for (int i = 0; i < entries.size(); i++) {
            Route route = configuration.routes().get(entries.get(i).name());
            String pointer = "/routes/" + i;
            findUnreachableEndpoints(document, pointer, route);
            findHiddenMethods(document, pointer, route);
            findExcludedAccounts(document, pointer, route, entries.get(i).accounts());
        }
    }

    private void findUnreachableEndpoints(ServiceDocument document, String pointer, Route route) {
        boolean reachable = configuration.endpointsOf(route.service()).stream()
                .anyMatch(endpoint -> route.allowedDataCentres().contains(endpoint.dataCentre()));
        if (!reachable) {
            add(
                    document,
                    pointer,
                    "route \"" + route.name() + "\" can never be served: service \"" + route.service()
                            + "\" has no endpoint in a data centre that the route allows",
                    "add an endpoint, or widen the residency");
        }
    }

    private void findHiddenMethods(ServiceDocument document, String pointer, Route route) {
        if (!route.models().isEmpty()) {
            return;
        }
        route.methods().keySet().stream().sorted().forEach(method -> {
            String match = route.service() + ' ' + method + ' ' + route.pathPrefix();
            String other = routeByMatch.putIfAbsent(match, route.name());
            if (other != null) {
                add(
                        document,
                        pointer + "/path",
                        "routes \"" + other + "\" and \"" + route.name() + "\" match the same " + method
                                + " requests, so that one of them never does",
                        "use another path, or remove the method from one of them");
            }
        });
    }

    private void findExcludedAccounts(
            ServiceDocument document, String pointer, Route route, List<String> listedAccounts) {
        for (int i = 0; i < listedAccounts.size(); i++) {
            ClientAccount account = configuration.accounts().get(listedAccounts.get(i));
            if (Sets.intersection(account.allowedDataCentres(), route.allowedDataCentres())
                    .isEmpty()) {
                add(
                        document,
                        pointer + "/accounts/" + i,
                        "account \"" + account.name() + "\" can never use route \"" + route.name()
                                + "\": their residencies have no data centre in common",
                        "change one of the residencies");
            }
        }
    }

    private void reviewAccounts(ServiceDocument document) {
        List<ServiceFile.AccountEntry> entries = document.file().accounts();
        Set<String> dataCentres = configuration.dataCentres().keySet();
        for (int i = 0; i < entries.size(); i++) {
            ServiceFile.AccountEntry account = entries.get(i);
            String pointer = "/accounts/" + i;
            if (account.burstTokens() < account.tokensPerSecond()) {
                add(
                        document,
                        pointer + "/burstTokens",
                        "account \"" + account.name() + "\" accrues " + account.tokensPerSecond()
                                + " tokens a second, but can hold only " + account.burstTokens(),
                        "raise burstTokens, or lower tokensPerSecond");
            }
            account.shares().keySet().stream()
                    .filter(dataCentre -> dataCentres.contains(dataCentre)
                            && account.shares().get(dataCentre) > 0
                            && configuration
                                    .dataCentres()
                                    .get(dataCentre)
                                    .hosts()
                                    .isEmpty())
                    .sorted()
                    .forEach(dataCentre -> add(
                            document,
                            pointer + "/shares/" + dataCentre,
                            "the share of account \"" + account.name() + "\" in data centre \"" + dataCentre
                                    + "\" can never be used: it has no host",
                            "set the share to 0, or add a host"));
        }
    }

    private void add(ServiceDocument document, String pointer, String message, String hint) {
        findings.add(document.problemAt(pointer, message, hint));
    }
}
