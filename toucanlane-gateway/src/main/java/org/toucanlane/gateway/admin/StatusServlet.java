package org.toucanlane.gateway.admin;

import com.fasterxml.jackson.databind.ObjectMapper;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.toucanlane.coordination.membership.Member;
import org.toucanlane.coordination.share.HostShare;
import org.toucanlane.coordination.share.ShareLedger;
import org.toucanlane.domain.configuration.ConfigurationSnapshot;
import org.toucanlane.gateway.configuration.ConfigurationManager;
import org.toucanlane.gateway.dispatch.EndpointPools;
import org.toucanlane.gateway.lifecycle.HostPhase;
import org.toucanlane.gateway.lifecycle.RunningRequests;
import org.toucanlane.gateway.peer.PeerRegistry;
import org.toucanlane.policy.routing.EndpointView;
import org.toucanlane.wire.PeerIdentity;

/** Serves the {@link HostStatus} as JSON. Thread-safe. */
@Singleton
public final class StatusServlet extends HttpServlet {

    private static final long serialVersionUID = 1L;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final transient PeerIdentity self;
    private final transient HostPhase phase;
    private final transient ConfigurationManager configuration;
    private final transient RunningRequests running;
    private final transient PeerRegistry peers;
    private final transient EndpointPools pools;
    private final transient ShareLedger ledger;

    /** Creates a servlet. */
    @Inject
    public StatusServlet(
            PeerIdentity self,
            HostPhase phase,
            ConfigurationManager configuration,
            RunningRequests running,
            PeerRegistry peers,
            EndpointPools pools,
            ShareLedger ledger) {
        this.self = self;
        this.phase = phase;
        this.configuration = configuration;
        this.running = running;
        this.peers = peers;
        this.pools = pools;
        this.ledger = ledger;
    }

    @Override
    protected void doGet(HttpServletRequest request, HttpServletResponse response) throws IOException {
        response.setContentType("application/json");
        JSON.writeValue(response.getWriter(), status());
    }

    private HostStatus status() {
        return new HostStatus(
                self.host(),
                self.dataCentre(),
                self.incarnation(),
                phase.phase().name().toLowerCase(Locale.ROOT),
                configuration.version(),
                running.count(),
                peers.membership().members().stream().map(this::toPeerStatus).toList(),
                endpointStatuses(),
                freeTokens());
    }

    private HostStatus.PeerStatus toPeerStatus(Member member) {
        String state = peers.membership().state(member.host()).name().toLowerCase(Locale.ROOT);
        return new HostStatus.PeerStatus(member.host(), member.dataCentre(), state, member.configurationVersion());
    }

    private List<HostStatus.EndpointStatus> endpointStatuses() {
        return configuration.snapshot().stream()
                .flatMap(snapshot -> snapshot.configuration().services().stream())
                .flatMap(service -> pools.views(service, self.dataCentre()).stream())
                .sorted(Comparator.comparing(EndpointView::name))
                .map(view -> new HostStatus.EndpointStatus(
                        view.name(), view.capacity(), view.ownRunning(), view.othersRunning(), view.available()))
                .toList();
    }

    private Map<String, Long> freeTokens() {
        Map<String, Long> free = new TreeMap<>();
        configuration
                .snapshot()
                .map(ConfigurationSnapshot::shares)
                .ifPresent(table -> table.accounts().stream()
                        .filter(account -> table.holders(account).stream()
                                .map(HostShare::host)
                                .anyMatch(self.host()::equals))
                        .forEach(account -> free.put(account, ledger.freeTokens(account))));
        return free;
    }
}
