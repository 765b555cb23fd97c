package org.toucanlane.gateway.peer;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucanlane.domain.account.ClientAccount;
import org.toucanlane.domain.configuration.FleetConfiguration;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.outcome.ExecutionStatus;
import org.toucanlane.domain.outcome.RequestFailedException;
import org.toucanlane.domain.route.Route;
import org.toucanlane.gateway.GatewaySettings;
import org.toucanlane.gateway.caller.KeyRing;
import org.toucanlane.gateway.caller.OpenAccount;
import org.toucanlane.gateway.configuration.ConfigurationKeeper;
import org.toucanlane.gateway.dispatch.Answer;
import org.toucanlane.gateway.dispatch.GatewayRequest;
import org.toucanlane.gateway.dispatch.LocalDispatcher;
import org.toucanlane.gateway.lifecycle.RunningRequests;
import org.toucanlane.wire.CallResponder;
import org.toucanlane.wire.proto.CallOpen;

/**
 * Runs requests that hosts of other data centres have handed on.
 *
 * <p>Everything is checked again against this host's own configuration: the account, the key, the route and the
 * residency. A request that has been handed on before is refused, so that none goes round. Thread-safe.
 */
@Singleton
public final class PeerCallService {

    private static final Logger LOG = LoggerFactory.getLogger(PeerCallService.class);
    private static final int MAX_HOPS = 1;
    private static final int BUFFER_BYTES = 16 * 1024;

    private final String dataCentre;
    private final ConfigurationKeeper configuration;
    private final KeyRing keys;
    private final LocalDispatcher local;
    private final RunningRequests running;

    /** Creates a service. */
    @Inject
    public PeerCallService(
            GatewaySettings settings,
            ConfigurationKeeper configuration,
            KeyRing keys,
            LocalDispatcher local,
            RunningRequests running) {
        this.dataCentre = settings.dataCentre();
        this.configuration = configuration;
        this.keys = keys;
        this.local = local;
        this.running = running;
    }

    /** Serves one call and ends it. */
    public void serve(CallOpen call, CallResponder responder) {
        try (RunningRequests.Entry entry = running.enter(call.getKeyId())) {
            GatewayRequest request = check(call);
            try (Answer answer = open(request)) {
                entry.onWithdrawal(answer::close);
                responder.onCancel(answer::close);
                relay(answer, responder);
            } catch (RequestFailedException e) {
                throw entry.isWithdrawn() ? withdrawn(e) : e;
            }
        } catch (RequestFailedException e) {
            long retryAfter = e.retryAfter().map(Duration::toMillis).orElse(0L);
            responder.fail(e.kind().name(), e.getMessage(), retryAfter);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            responder.fail(ErrorKind.ANSWER_INCOMPLETE.name(), "the host is stopping", 0);
        } catch (RuntimeException e) {
            LOG.error("request {} from a peer failed", call.getRequestId(), e);
            responder.fail(ErrorKind.INTERNAL.name(), "internal error", 0);
        }
    }

    private static RequestFailedException withdrawn(RequestFailedException cause) {
        return new RequestFailedException(ErrorKind.KEY_WITHDRAWN, "the key was withdrawn", cause);
    }

    private GatewayRequest check(CallOpen call) throws RequestFailedException {
        if (call.getHops() != MAX_HOPS) {
            throw new RequestFailedException(ErrorKind.LOOP_DETECTED, "the request was handed on before");
        }
        FleetConfiguration current = configuration.current().configuration();
        Route route = Optional.ofNullable(current.routes().get(call.getRoute()))
                .orElseThrow(() -> refused(ErrorKind.UNKNOWN_ROUTE, "route " + call.getRoute() + " is unknown here"));
        ClientAccount account = accountOf(call, route, current);
        Set<String> allowed = new HashSet<>(current.allowedDataCentres(account, route));
        allowed.retainAll(call.getAllowedDataCentresList());
        if (!allowed.contains(dataCentre)) {
            throw refused(ErrorKind.RESIDENCY_UNREACHABLE, "the request may not run in " + dataCentre);
        }
        if (route.idempotencyOf(call.getMethod()).isEmpty()) {
            throw refused(ErrorKind.METHOD_NOT_ALLOWED, "the route does not take " + call.getMethod());
        }
        return toRequest(call, route, account, allowed);
    }

    private ClientAccount accountOf(CallOpen call, Route route, FleetConfiguration current)
            throws RequestFailedException {
        if (call.getKeyId().isEmpty() && route.open()) {
            return OpenAccount.of(route);
        }
        keys.checkBelongs(call.getKeyId(), call.getAccount());
        ClientAccount account = current.accounts().get(call.getAccount());
        if (account == null || !route.allows(account.name())) {
            throw refused(ErrorKind.FORBIDDEN, "the account may not use the route");
        }
        return account;
    }

    private static RequestFailedException refused(ErrorKind kind, String message) {
        return new RequestFailedException(kind, message);
    }

    private static GatewayRequest toRequest(CallOpen call, Route route, ClientAccount account, Set<String> allowed) {
        return new GatewayRequest(
                call.getRequestId(),
                account,
                call.getKeyId(),
                route,
                call.getMethod(),
                call.getPath(),
                call.getContentType(),
                call.getAccept(),
                call.getBody().toByteArray(),
                call.getTokens(),
                call.getAffinity(),
                false,
                allowed,
                Optional.empty(),
                System.nanoTime() + Duration.ofMillis(call.getDeadlineMillis()).toNanos());
    }

    /** Tries the endpoints here one after another, for as long as nothing was sent to any of them. */
    private Answer open(GatewayRequest request) throws RequestFailedException {
        Set<String> tried = new HashSet<>();
        while (true) {
            int before = tried.size();
            try {
                return local.open(request, tried);
            } catch (RequestFailedException e) {
                boolean another = e.kind().executionStatus() == ExecutionStatus.NOT_RUN && tried.size() > before;
                if (!another) {
                    throw e;
                }
            }
        }
    }

    private static void relay(Answer answer, CallResponder responder)
            throws RequestFailedException, InterruptedException {
        responder.head(answer.status(), answer.contentType());
        byte[] buffer = new byte[BUFFER_BYTES];
        int count = answer.read(buffer);
        while (count >= 0) {
            if (!responder.data(Arrays.copyOf(buffer, count), 0, count)) {
                throw new RequestFailedException(ErrorKind.CANCELLED, "the caller's host no longer wants the answer");
            }
            count = answer.read(buffer);
        }
        responder.end();
    }
}
