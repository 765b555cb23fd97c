package org.toucanlane.edge.call;

import com.google.common.collect.Comparators;
import com.google.common.collect.Sets;
import io.netty.handler.codec.http.HttpRequest;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.toucanlane.coordination.hash.RendezvousHash;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.serving.ServingAccount;
import org.toucanlane.domain.serving.ServingConfiguration;
import org.toucanlane.domain.serving.ServingRoute;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.limit.AccountLimiter;
import org.toucanlane.edge.state.FreshnessLease;
import org.toucanlane.policy.overload.ArrivalQueue;
import org.toucanlane.policy.overload.CallerPatience;
import org.toucanlane.policy.overload.RetrySpread;

/**
 * Decides whether a request may run. Applies the configuration in force: route, key, account limit and data residency.
 *
 * <p>Invariant: a request whose key must be verified is admitted only while {@link FreshnessLease} holds, so that a revoked
 * key stops working within a bounded time even if this host is partitioned. Used on the host's event loop only.
 */
final class CallAdmission {

    /**
     * Mean retry delay on a host that has no configuration or can't verify keys; half of it is long enough for a few store
     * calls.
     */
    private static final Duration NOT_READY_RETRY_AFTER = Duration.ofMillis(700);

    /**
     * Retry delay for a forwarded request that needs a newer configuration; the store watch delivers the version in
     * that time.
     */
    private static final Duration OLD_CONFIGURATION_RETRY_AFTER = Duration.ofMillis(200);

    /** Shortest mean retry delay of a host that is late: another host can be asked almost at once. */
    private static final Duration MIN_LATE_RETRY_AFTER = Duration.ofMillis(100);

    /** Longest mean retry delay of a host that is late; beyond, callers would rather give up. */
    private static final Duration MAX_LATE_RETRY_AFTER = Duration.ofSeconds(1);

    /** Matches no region. Used if the residency rules of the route and of the account have no region in common. */
    private static final Set<String> NO_REGION = Set.of("");

    private final Fleet fleet;
    private final FreshnessLease freshness;
    private final AccountLimiter limiter;
    private final CallDialect dialect;

    CallAdmission(CallService.HostState view, CallDialect dialect) {
        this.fleet = view.fleet();
        this.freshness = view.freshness();
        this.limiter = view.limiter();
        this.dialect = dialect;
    }

    /**
     * Admits a request from a caller.
     *
     * @throws CallRefusedException if the request may not run
     */
    AdmittedCall admit(HttpRequest request, CallHead head, long receivedAt) throws CallRefusedException {
        ServingConfiguration configuration = configuration(head);
        ServingRoute route = route(configuration, head);
        refuseIfGivenUp(termsOf(route, Optional.empty(), timeLeft(head, route), false), head, receivedAt);
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
                                "account %s has exhausted this host's share %.3f of its limit; the request costs %d",
                                name,
                                limiter.shareOf(name).fraction(),
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
     * Admits a request that another host has admitted and forwarded.
     *
     * @throws CallRefusedException if the request may not run here
     */
    AdmittedCall admitForwarded(HttpRequest request, CallHead head, long receivedAt) throws CallRefusedException {
        HopHeaders.Hop hop = readHopHeaders(request);
        ServingConfiguration configuration = configuration(head);
        if (configuration.version() < hop.configurationVersion()) {
            throw new CallRefusedException(
                    ErrorKind.NOT_READY,
                    OLD_CONFIGURATION_RETRY_AFTER,
                    "configuration version " + hop.configurationVersion() + " is not in force on this host yet");
        }
        ServingRoute route = route(configuration, head);
        refuseIfGivenUp(termsOf(route, Optional.empty(), hop.timeLeft(), true), head, receivedAt);
        Optional<ServingAccount> account = hop.account().flatMap(configuration::account);
        if (account.isEmpty() && hop.account().isPresent()) {
            throw new CallRefusedException(
                    ErrorKind.NOT_READY,
                    OLD_CONFIGURATION_RETRY_AFTER,
                    "the account of the forwarded request is not in the configuration of this host");
        }
        return admitted(
                hop.lastEventId().isEmpty() ? head : head.withLastEventId(hop.lastEventId()),
                new ResolvedRoute(configuration, route, account),
                receivedAt + hop.timeLeft().toNanos(),
                Math.max(1, hop.endpointsLeft()),
                0,
                Optional.of(hop.sender()));
    }

    /** Returns what the caller of a request needs, or empty if the configuration in force has no route for it. */
    Optional<ArrivalQueue.Terms> terms(CallHead head) {
        return fleet.configuration()
                .flatMap(configuration -> configuration
                        .route(head.host(), head.path())
                        .map(route -> termsOf(
                                route,
                                route.open() ? Optional.empty() : head.key().flatMap(configuration::accountOf),
                                timeLeft(head, route),
                                false)));
    }

    /** As {@link #terms}, for a request that another host has forwarded. */
    Optional<ArrivalQueue.Terms> termsForwarded(HttpRequest request, CallHead head) throws CallRefusedException {
        HopHeaders.Hop hop = readHopHeaders(request);
        return fleet.configuration()
                .flatMap(configuration -> configuration
                        .route(head.host(), head.path())
                        .map(route ->
                                termsOf(route, hop.account().flatMap(configuration::account), hop.timeLeft(), true)));
    }

    /** What another host forwards has been read once, so that only its deadline or the silence of a stream ends it. */
    private static ArrivalQueue.Terms termsOf(
            ServingRoute route, Optional<ServingAccount> account, Duration timeLeft, boolean forwarded) {
        CallerPatience patience = switch (route.kind()) {
            case IDEMPOTENT -> forwarded ? CallerPatience.ONCE : CallerPatience.REPEATABLE;
            case AT_MOST_ONCE -> CallerPatience.ONCE;
            case STREAM -> CallerPatience.STREAM;
        };
        OptionalInt priority = account.map(ServingAccount::priority)
                .filter(OptionalInt::isPresent)
                .orElse(route.priority());
        return new ArrivalQueue.Terms(
                priority.orElse(0),
                route.latencyObjective(),
                patience.givesUpAfter(timeLeft, route.latencyObjective(), route.maxEventGap()));
    }

    private void refuseIfGivenUp(ArrivalQueue.Terms terms, CallHead head, long receivedAt) throws CallRefusedException {
        long age = System.nanoTime() - receivedAt;
        if (age >= terms.givenUpAfter().toNanos()) {
            throw late(
                    head,
                    age,
                    "its caller has given it up after " + terms.givenUpAfter().toMillis() + " ms");
        }
    }

    /** Returns the refusal of a request that this host has read, or gets to, too late. */
    static CallRefusedException late(CallHead head, long ageNanos, String reason) {
        Duration age = Duration.ofNanos(ageNanos);
        Duration mean = Comparators.max(MIN_LATE_RETRY_AFTER, Comparators.min(MAX_LATE_RETRY_AFTER, age));
        return new CallRefusedException(
                ErrorKind.OVERLOADED,
                RetrySpread.around(mean, RendezvousHash.hash(head.id())),
                "the request may have waited " + age.toMillis() + " ms to be read: " + reason);
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

    /** The configuration in force, and the route and account that it assigns to a request. */
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
     * Parses the headers of a request.
     *
     * @throws CallRefusedException if a header is invalid
     */
    CallHead readHead(HttpRequest request) throws CallRefusedException {
        try {
            return dialect.readRequest(request);
        } catch (InvalidCallException e) {
            throw new CallRefusedException(ErrorKind.INVALID_REQUEST, Duration.ZERO, e.getMessage());
        }
    }

    private ServingConfiguration configuration(CallHead head) throws CallRefusedException {
        return fleet.configuration().orElseThrow(() -> notReady(head, "no configuration has been loaded yet"));
    }

    private static CallRefusedException notReady(CallHead head, String detail) {
        Duration retryAfter = RetrySpread.around(NOT_READY_RETRY_AFTER, RendezvousHash.hash(head.id()));
        return new CallRefusedException(ErrorKind.NOT_READY, retryAfter, detail);
    }

    private static ServingRoute route(ServingConfiguration configuration, CallHead head) throws CallRefusedException {
        return configuration
                .route(head.host(), head.path())
                .orElseThrow(() -> new CallRefusedException(
                        ErrorKind.UNKNOWN_ROUTE,
                        Duration.ZERO,
                        "no route matches the host name and path of the request"));
    }

    private Optional<ServingAccount> account(ServingConfiguration configuration, ServingRoute route, CallHead head)
            throws CallRefusedException {
        if (!configuration.requiresKeys() || route.open()) {
            return Optional.empty();
        }
        if (!freshness.isValid()) {
            throw notReady(head, "keys can't be verified while the store is unreachable or was just restored");
        }
        if (fleet.isConfigurationOutdated(System.nanoTime())) {
            throw notReady(
                    head,
                    "keys can't be verified: another host has configuration " + fleet.newestKnownConfiguration()
                            + ", this host " + configuration.version());
        }
        return Optional.of(head.key()
                .flatMap(configuration::accountOf)
                .orElseThrow(() -> new CallRefusedException(
                        ErrorKind.UNAUTHENTICATED, Duration.ZERO, "the key is missing, unknown or revoked")));
    }

    private static long declaredTokens(CallHead head) {
        return head.prompt().map(Prompt::chargedTokens).orElse(-1L);
    }

    private static Set<String> regions(ServingRoute route, Optional<ServingAccount> account) {
        Set<String> accountRegions = account.map(ServingAccount::regions).orElse(Set.of());
        if (route.regions().isEmpty() || accountRegions.isEmpty()) {
            return route.regions().isEmpty() ? accountRegions : route.regions();
        }
        Set<String> common = Sets.intersection(route.regions(), accountRegions).immutableCopy();
        return common.isEmpty() ? NO_REGION : common;
    }

    private static Duration timeLeft(CallHead head, ServingRoute route) {
        Duration requested = head.timeLeftMillis().isPresent()
                ? Duration.ofMillis(head.timeLeftMillis().getAsLong())
                : route.timeout();
        return requested.compareTo(route.timeout()) < 0 ? requested : route.timeout();
    }
}
