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
import org.toucanlane.gateway.caller.AnonymousAccount;
import org.toucanlane.gateway.caller.ApiKeyAuthenticator;
import org.toucanlane.gateway.configuration.ConfigurationManager;
import org.toucanlane.gateway.dispatch.GatewayRequest;
import org.toucanlane.gateway.dispatch.GatewayResponse;
import org.toucanlane.gateway.dispatch.LocalDispatcher;
import org.toucanlane.gateway.lifecycle.RunningRequests;
import org.toucanlane.wire.CallResponder;
import org.toucanlane.wire.proto.CallOpen;

/**
 * Runs requests that hosts of other data centres have forwarded.
 *
 * <p>The account, the key, the route and the residency are validated again against this host's own configuration. A
 * request that has been forwarded more than once is rejected, which prevents loops. Thread-safe.
 */
@Singleton
public final class PeerCallService {

    private static final Logger LOG = LoggerFactory.getLogger(PeerCallService.class);
    private static final int MAX_HOPS = 1;
    private static final int BUFFER_BYTES = 16 * 1024;

    private final String dataCentre;
    private final ConfigurationManager configuration;
    private final ApiKeyAuthenticator keys;
    private final LocalDispatcher local;
    private final RunningRequests running;

    /** Creates a service. */
    @Inject
    public PeerCallService(
            GatewaySettings settings,
            ConfigurationManager configuration,
            ApiKeyAuthenticator keys,
            LocalDispatcher local,
            RunningRequests running) {
        this.dataCentre = settings.dataCentre();
        this.configuration = configuration;
        this.keys = keys;
        this.local = local;
        this.running = running;
    }

    /** Serves a call and completes it through {@code responder}. */
    public void serve(CallOpen call, CallResponder responder) {
        try (RunningRequests.Entry entry = running.add(call.getKeyId())) {
            GatewayRequest request = validate(call);
            try (GatewayResponse response = dispatch(request)) {
                entry.onKeyRevoked(response::close);
                responder.onCancel(response::close);
                relay(response, responder);
            } catch (RequestFailedException e) {
                throw entry.isKeyRevoked() ? keyWithdrawn(e) : e;
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

    private static RequestFailedException keyWithdrawn(RequestFailedException cause) {
        return new RequestFailedException(ErrorKind.KEY_WITHDRAWN, "the key was withdrawn", cause);
    }

    private GatewayRequest validate(CallOpen call) throws RequestFailedException {
        if (call.getHops() != MAX_HOPS) {
            throw new RequestFailedException(ErrorKind.LOOP_DETECTED, "the request was handed on before");
        }
        FleetConfiguration current = configuration.current().configuration();
        Route route = Optional.ofNullable(current.routes().get(call.getRoute()))
                .orElseThrow(() -> rejection(ErrorKind.UNKNOWN_ROUTE, "route " + call.getRoute() + " is unknown here"));
        ClientAccount account = resolveAccount(call, route, current);
        Set<String> allowed = new HashSet<>(current.allowedDataCentres(account, route));
        allowed.retainAll(call.getAllowedDataCentresList());
        if (!allowed.contains(dataCentre)) {
            throw rejection(ErrorKind.RESIDENCY_UNREACHABLE, "the request may not run in " + dataCentre);
        }
        if (route.idempotencyOf(call.getMethod()).isEmpty()) {
            throw rejection(ErrorKind.METHOD_NOT_ALLOWED, "the route does not take " + call.getMethod());
        }
        return toRequest(call, route, account, allowed);
    }

    private ClientAccount resolveAccount(CallOpen call, Route route, FleetConfiguration current)
            throws RequestFailedException {
        if (call.getKeyId().isEmpty() && route.open()) {
            return AnonymousAccount.forRoute(route);
        }
        keys.checkOwnedBy(call.getKeyId(), call.getAccount());
        ClientAccount account = current.accounts().get(call.getAccount());
        if (account == null || !route.allows(account.name())) {
            throw rejection(ErrorKind.FORBIDDEN, "the account may not use the route");
        }
        return account;
    }

    private static RequestFailedException rejection(ErrorKind kind, String message) {
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

    /** Tries the local endpoints one after another while each failure guarantees that the request did not run. */
    private GatewayResponse dispatch(GatewayRequest request) throws RequestFailedException {
        Set<String> tried = new HashSet<>();
        while (true) {
            int triedBefore = tried.size();
            try {
                return local.dispatch(request, tried);
            } catch (RequestFailedException e) {
                boolean tryNext = e.kind().executionStatus() == ExecutionStatus.NOT_RUN && tried.size() > triedBefore;
                if (!tryNext) {
                    throw e;
                }
            }
        }
    }

    private static void relay(GatewayResponse response, CallResponder responder)
            throws RequestFailedException, InterruptedException {
        responder.sendHead(response.status(), response.contentType());
        byte[] buffer = new byte[BUFFER_BYTES];
        int count = response.read(buffer);
        while (count >= 0) {
            if (!responder.sendData(Arrays.copyOf(buffer, count), 0, count)) {
                throw new RequestFailedException(ErrorKind.CANCELLED, "the caller's host no longer wants the answer");
            }
            count = response.read(buffer);
        }
        responder.complete();
    }
}
