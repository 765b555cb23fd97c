package org.toucanlane.edge.call;

import com.google.common.collect.Sets;
import io.netty.handler.codec.http.HttpRequest;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.toucanlane.coordination.hash.RendezvousHash;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.serving.ServingAccount;
import org.toucanlane.domain.serving.ServingConfiguration;
import org.toucanlane.domain.serving.ServingRoute;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.limit.AccountLimiter;
import org.toucanlane.edge.state.Freshness;

/**
 * Decides whether a request may run, from the configuration in force: route, key, account's limit, residency.
 *
 * <p>Invariant: a request whose key must be checked is admitted only while {@link Freshness} holds, so a withdrawn key
 * stops working in bounded time whatever this host is cut off from. Used on the host's event loop only.
 */
final class CallAdmission {

    /** When a caller may come back to a host that knows no configuration or can't check keys: a few store calls. */
    private static final Duration NOT_READY_RETRY_AFTER = Duration.ofMillis(700);

    /** When a request may come back that another host has passed on too early: a watch brings the version by then. */
    private static final Duration OLD_CONFIGURATION_RETRY_AFTER = Duration.ofMillis(200);

    /** Regions that no request can be allowed in at once, as the answer to homes that exclude each other. */
    private static final Set<String> NO_REGION = Set.of("");

    private final Fleet fleet;
    private final Freshness freshness;
    private final AccountLimiter limiter;
    private final CallDialect dialect;

    CallAdmission(CallService.HostState view, CallDialect dialect) {
        this.fleet = view.fleet();
        this.freshness = view.freshness();
        this.limiter = view.limiter();
        this.dialect = dialect;
    }

    /**
     * Admits a caller's request.
     *
     * @throws CallRefusedException if it may not run
     */
    AdmittedCall admit(HttpRequest request, CallHead head, long receivedAt) throws CallRefusedException {
        ServingConfiguration configuration = configuration();
        ServingRoute route = route(configuration, head);
        Optional<ServingAccount> account = account(configuration, route, head);
        long cost = account.map(holder -> holder.costOf(declaredTokens(head))).orElse(0L);
        if (account.isPresent()) {
            Optional<Duration> wait = limiter.charge(account.get(), cost);
            if (wait.isPresent()) {
                String name = account.get().name();
                throw new CallRefusedException(
                        ErrorKind.RATE_LIMITED,
                        wait.get(),
                        String.format(
                                Locale.ROOT,
                                "account %s has used up this host's part of its limit, %.3f; it asked for %d",
                                name,
                                limiter.shareOf(name).part(),
                                cost));
            }
        }
        return admitted(
                head,
                new ResolvedRoute(configuration, route, account),
                receivedAt + timeLeft(head, route).toNanos(),
                route.maxEndpoints(),
                cost,
                Optional.empty());
    }

    /**
     * Admits a request that another host has admitted and passed on.
     *
     * @throws CallRefusedException if it may not run here
     */
    AdmittedCall admitForwarded(HttpRequest request, CallHead head, long receivedAt) throws CallRefusedException {
        HopHeaders.Hop hop = readHopHeaders(request);
        ServingConfiguration configuration = configuration();
        if (configuration.version() < hop.configurationVersion()) {
            throw new CallRefusedException(
                    ErrorKind.NOT_READY,
                    OLD_CONFIGURATION_RETRY_AFTER,
                    "version " + hop.configurationVersion() + " is not in force here yet");
        }
        ServingRoute route = route(configuration, head);
        Optional<ServingAccount> account = hop.account().flatMap(configuration::account);
        if (account.isEmpty() && hop.account().isPresent()) {
            throw new CallRefusedException(
                    ErrorKind.NOT_READY, OLD_CONFIGURATION_RETRY_AFTER, "the account is not known here");
        }
        return admitted(
                hop.lastEventId().isEmpty() ? head : head.withLastEventId(hop.lastEventId()),
                new ResolvedRoute(configuration, route, account),
                receivedAt + hop.timeLeft().toNanos(),
                Math.max(1, hop.endpointsLeft()),
                0,
                Optional.of(hop.sender()));
    }

    private static AdmittedCall admitted(
            CallHead head,
            ResolvedRoute routed,
            long deadline,
            int endpointsLeft,
            long charged,
            Optional<String> fromHost) {
        String service = routed.route().serviceFor(RendezvousHash.hash(head.id()));
        return new AdmittedCall(
                head,
                routed.route(),
                service,
                routed.account(),
                regions(routed.route(), routed.account()),
                deadline,
                endpointsLeft,
                charged,
                fromHost,
                routed.configuration().version(),
                routed.configuration().boundsOf(service));
    }

    /** What the configuration in force says of a request. */
    private record ResolvedRoute(
            ServingConfiguration configuration, ServingRoute route, Optional<ServingAccount> account) {}

    private static HopHeaders.Hop readHopHeaders(HttpRequest request) throws CallRefusedException {
        try {
            return HopHeaders.read(request);
        } catch (InvalidCallException e) {
            throw new CallRefusedException(ErrorKind.INVALID_REQUEST, Duration.ZERO, e.getMessage());
        }
    }

    /**
     * Reads a request's head.
     *
     * @throws CallRefusedException if it can't be read
     */
    CallHead readHead(HttpRequest request) throws CallRefusedException {
        try {
            return dialect.readRequest(request);
        } catch (InvalidCallException e) {
            throw new CallRefusedException(ErrorKind.INVALID_REQUEST, Duration.ZERO, e.getMessage());
        }
    }

    private ServingConfiguration configuration() throws CallRefusedException {
        return fleet.configuration()
                .orElseThrow(() -> new CallRefusedException(
                        ErrorKind.NOT_READY, NOT_READY_RETRY_AFTER, "no configuration is known yet"));
    }

    private static ServingRoute route(ServingConfiguration configuration, CallHead head) throws CallRefusedException {
        return configuration
                .route(head.host(), head.path())
                .orElseThrow(() -> new CallRefusedException(
                        ErrorKind.UNKNOWN_ROUTE, Duration.ZERO, "no route serves this host name and path"));
    }

    private Optional<ServingAccount> account(ServingConfiguration configuration, ServingRoute route, CallHead head)
            throws CallRefusedException {
        if (!configuration.requiresKeys() || route.open()) {
            return Optional.empty();
        }
        if (!freshness.holds()) {
            throw new CallRefusedException(
                    ErrorKind.NOT_READY, NOT_READY_RETRY_AFTER, "keys can't be checked while the store is away");
        }
        return Optional.of(head.key()
                .flatMap(configuration::accountOf)
                .orElseThrow(() -> new CallRefusedException(
                        ErrorKind.UNAUTHENTICATED, Duration.ZERO, "the key is missing, unknown or withdrawn")));
    }

    private static long declaredTokens(CallHead head) {
        return head.prompt().map(Prompt::chargedTokens).orElse(-1L);
    }

    private static Set<String> regions(ServingRoute route, Optional<ServingAccount> account) {
        Set<String> ofAccount = account.map(ServingAccount::regions).orElse(Set.of());
        if (route.regions().isEmpty() || ofAccount.isEmpty()) {
            return route.regions().isEmpty() ? ofAccount : route.regions();
        }
        Set<String> both = Sets.intersection(route.regions(), ofAccount).immutableCopy();
        return both.isEmpty() ? NO_REGION : both;
    }

    private static Duration timeLeft(CallHead head, ServingRoute route) {
        Duration asked = head.timeLeftMillis().isPresent()
                ? Duration.ofMillis(head.timeLeftMillis().getAsLong())
                : route.timeout();
        return asked.compareTo(route.timeout()) < 0 ? asked : route.timeout();
    }
}
