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
import org.toucanlane.gateway.peer.PeerHub;
import org.toucanlane.policy.routing.DataCentreRanker;
import org.toucanlane.policy.routing.DataCentreView;
import org.toucanlane.policy.routing.EndpointView;

/** What this host knows of all data centres when it chooses one. Thread-safe. */
@Singleton
public final class DataCentres {

    private final String own;
    private final ConfigurationManager configuration;
    private final EndpointPools pools;
    private final PeerHub peers;
    private final DataCentreRanker chooser;

    /** Creates a view. */
    @Inject
    public DataCentres(
            GatewaySettings settings, ConfigurationManager configuration, EndpointPools pools, PeerHub peers) {
        this.own = settings.dataCentre();
        this.configuration = configuration;
        this.pools = pools;
        this.peers = peers;
        this.chooser = DataCentreRanker.of(settings.routing().toWeights());
    }

    /**
     * Returns the data centres in which {@code request} may run, best first.
     *
     * @throws RequestFailedException if there is no configuration
     */
    public List<DataCentreRanker.Candidate> rank(GatewayRequest request, Set<String> tried)
            throws RequestFailedException {
        return chooser.rank(views(request.route().service(), request.allowedDataCentres()), tried);
    }

    /**
     * Returns what is known of every data centre for a request to {@code service}.
     *
     * @throws RequestFailedException if there is no configuration
     */
    public List<DataCentreView> views(String service, Set<String> allowed) throws RequestFailedException {
        return configuration.current().configuration().dataCentres().values().stream()
                .map(dataCentre -> view(dataCentre, service, allowed))
                .toList();
    }

    /** Returns each view's standing: its cost if it is usable, and which one would be chosen. */
    public List<Standing> explain(List<DataCentreView> views) {
        List<DataCentreRanker.Candidate> ranked = chooser.rank(views, Set.of());
        return views.stream().map(view -> standing(view, ranked)).toList();
    }

    private static Standing standing(DataCentreView view, List<DataCentreRanker.Candidate> ranked) {
        Optional<DataCentreRanker.Candidate> candidate = ranked.stream()
                .filter(one -> one.view().name().equals(view.name()))
                .findFirst();
        boolean chosen = !ranked.isEmpty() && ranked.get(0).view().name().equals(view.name());
        return new Standing(
                view,
                candidate.map(DataCentreRanker.Candidate::waitingMillis).orElse(null),
                candidate.map(DataCentreRanker.Candidate::awayMillis).orElse(null),
                chosen);
    }

    /**
     * How a data centre stands in a decision.
     *
     * @param view what is known of it
     * @param waitingMillis expected wait; null if it can't be used
     * @param awayMillis cost of going there; null if it can't be used
     * @param chosen whether a request would go there
     */
    public record Standing(DataCentreView view, Double waitingMillis, Double awayMillis, boolean chosen) {}

    private DataCentreView view(DataCentre dataCentre, String service, Set<String> allowed) {
        boolean local = dataCentre.name().equals(own);
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
                local || peers.linkInto(dataCentre.name()).isPresent(),
                endpoints.size(),
                capacity == 0 ? 0 : running / capacity,
                local ? 0 : peers.roundTripMillis(dataCentre.name()));
    }
}
