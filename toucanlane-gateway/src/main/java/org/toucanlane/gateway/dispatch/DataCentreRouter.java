package org.toucanlane.gateway.dispatch;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.toucanlane.domain.fleet.DataCentre;
import org.toucanlane.domain.outcome.RequestFailedException;
import org.toucanlane.gateway.GatewaySettings;
import org.toucanlane.gateway.configuration.ConfigurationManager;
import org.toucanlane.gateway.peer.PeerRegistry;
import org.toucanlane.policy.routing.DataCentreRanker;
import org.toucanlane.policy.routing.DataCentreView;
import org.toucanlane.policy.routing.EndpointView;

/** Ranks the data centres for a request by their state as this host sees it. Thread-safe. */
@Singleton
public final class DataCentreRouter {

    private final String localDataCentre;
    private final ConfigurationManager configuration;
    private final EndpointPools pools;
    private final PeerRegistry peers;
    private final DataCentreRanker ranker;

    /** Creates a router. */
    @Inject
    public DataCentreRouter(
            GatewaySettings settings, ConfigurationManager configuration, EndpointPools pools, PeerRegistry peers) {
        this.localDataCentre = settings.dataCentre();
        this.configuration = configuration;
        this.pools = pools;
        this.peers = peers;
        this.ranker = DataCentreRanker.of(settings.routing().toWeights());
    }

    /**
     * Returns the usable data centres in which {@code request} may run, in ascending order of cost.
     *
     * @param tried data centres to exclude because the request has already been tried there
     * @throws RequestFailedException if there is no configuration
     */
    public List<DataCentreRanker.Candidate> rank(GatewayRequest request, Set<String> tried)
            throws RequestFailedException {
        return ranker.rank(views(request.route().service(), request.allowedDataCentres()), tried);
    }

    /**
     * Returns a view of every data centre for a request to {@code service}.
     *
     * @param allowed data centres in which the request may run
     * @throws RequestFailedException if there is no configuration
     */
    public List<DataCentreView> views(String service, Set<String> allowed) throws RequestFailedException {
        return configuration.current().configuration().dataCentres().values().stream()
                .map(dataCentre -> view(dataCentre, service, allowed))
                .toList();
    }

    /** Returns the evaluation of each view: its costs if it is usable, and whether it would be chosen. */
    public List<Evaluation> explain(List<DataCentreView> views) {
        List<DataCentreRanker.Candidate> ranked = ranker.rank(views, Set.of());
        return views.stream().map(view -> evaluate(view, ranked)).toList();
    }

    private static Evaluation evaluate(DataCentreView view, List<DataCentreRanker.Candidate> ranked) {
        Optional<DataCentreRanker.Candidate> candidate = ranked.stream()
                .filter(entry -> entry.view().name().equals(view.name()))
                .findFirst();
        boolean chosen = !ranked.isEmpty() && ranked.get(0).view().name().equals(view.name());
        return new Evaluation(
                view,
                candidate.map(DataCentreRanker.Candidate::waitingMillis).orElse(null),
                candidate.map(DataCentreRanker.Candidate::awayMillis).orElse(null),
                chosen);
    }

    /**
     * The evaluation of a data centre in a routing decision. Written to JSON.
     *
     * @param view the view on which the evaluation is based
     * @param waitingMillis expected wait for an endpoint, in milliseconds; null if the data centre is not usable
     * @param awayMillis cost of leaving the local data centre, in milliseconds; null if the data centre is not usable
     * @param chosen whether a request would be sent there
     */
    public record Evaluation(DataCentreView view, Double waitingMillis, Double awayMillis, boolean chosen) {}

    private DataCentreView view(DataCentre dataCentre, String service, Set<String> allowed) {
        boolean local = dataCentre.name().equals(localDataCentre);
        List<EndpointView> endpoints = pools.views(service, dataCentre.name()).stream()
                .filter(EndpointView::available)
                .toList();
        double running = endpoints.stream()
                .mapToInt(view -> view.ownRunning() + view.othersRunning())
                .sum();
        int capacity = endpoints.stream().mapToInt(EndpointView::capacity).sum();
        return new DataCentreView(
                dataCentre.name(),
                local,
                allowed.contains(dataCentre.name()),
                local || peers.selectLink(dataCentre.name()).isPresent(),
                endpoints.size(),
                capacity == 0 ? 0 : running / capacity,
                local ? 0 : peers.roundTripMillis(dataCentre.name()));
    }
}
