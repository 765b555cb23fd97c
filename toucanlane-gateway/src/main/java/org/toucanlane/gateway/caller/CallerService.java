package org.toucanlane.gateway.caller;

import com.google.common.io.ByteStreams;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.Response;
import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucanlane.domain.account.ApiKey;
import org.toucanlane.domain.account.ClientAccount;
import org.toucanlane.domain.configuration.FleetConfiguration;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.outcome.RequestFailedException;
import org.toucanlane.domain.route.Route;
import org.toucanlane.gateway.GatewaySettings;
import org.toucanlane.gateway.configuration.ConfigurationManager;
import org.toucanlane.gateway.dispatch.Answer;
import org.toucanlane.gateway.dispatch.GatewayRequest;
import org.toucanlane.gateway.dispatch.RequestPipeline;
import org.toucanlane.gateway.lifecycle.HostPhase;
import org.toucanlane.gateway.lifecycle.RunningRequests;
import org.toucanlane.gateway.telemetry.RequestMetrics;
import org.toucanlane.gateway.telemetry.RequestRecord;

/**
 * Takes callers' requests: whose it is, which route it takes, where it may run, then the pipeline, then the answer.
 *
 * <p>Thread-safe.
 */
@Singleton
public final class CallerService {

    /** Longest request body, in bytes. */
    static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    private static final Logger LOG = LoggerFactory.getLogger(CallerService.class);

    /** Charged for a call to a plain service. */
    private static final long SERVICE_REQUEST_TOKENS = 1;

    private static final String DATA_CENTRE_HEADER = "X-Data-Centre";

    private final ConfigurationManager configuration;
    private final ApiKeyAuthenticator authenticator;
    private final RequestPipeline pipeline;
    private final RunningRequests runningRequests;
    private final HostPhase hostPhase;
    private final RequestMetrics metrics;
    private final Duration defaultTimeout;

    /** Creates a service. */
    @Inject
    public CallerService(
            ConfigurationManager configuration,
            ApiKeyAuthenticator keys,
            RequestPipeline pipeline,
            RunningRequests running,
            HostPhase phase,
            RequestMetrics metrics,
            GatewaySettings settings) {
        this.configuration = configuration;
        this.authenticator = keys;
        this.pipeline = pipeline;
        this.runningRequests = running;
        this.hostPhase = phase;
        this.metrics = metrics;
        this.defaultTimeout = settings.requestTimeout();
    }

    /** Serves a request to a model. */
    Response handleModelRequest(String path, HttpHeaders headers, CallerConnection connection, InputStream body) {
        return handle(headers, connection, context -> {
            byte[] bytes = readBody(body);
            Caller caller = authenticate(context, connection);
            ModelRequest parsed = ModelRequest.parse(bytes);
            Route route = configuration
                    .current()
                    .configuration()
                    .routeForModel(parsed.model())
                    .orElseThrow(() -> new RequestFailedException(
                            ErrorKind.UNKNOWN_ROUTE, "no route serves the model \"" + parsed.model() + '"'));
            GatewayRequest request = buildRequest(context, caller, route, "POST", path, bytes, parsed);
            return new ParsedRequest(request, parsed.promptTokens());
        });
    }

    /** Serves a request to a plain service. */
    Response handleServiceRequest(
            ServiceTarget target, HttpHeaders headers, CallerConnection connection, InputStream body) {
        return handle(headers, connection, context -> {
            byte[] bytes = readBody(body);
            Caller caller = authenticate(context, connection);
            Route route = configuration
                    .current()
                    .configuration()
                    .routeForPath(target.service(), target.path())
                    .orElseThrow(() -> new RequestFailedException(
                            ErrorKind.UNKNOWN_ROUTE,
                            "no route serves " + target.path() + " of \"" + target.service() + '"'));
            ModelRequest plain = new ModelRequest("", false, SERVICE_REQUEST_TOKENS, 0, "");
            return new ParsedRequest(
                    buildRequest(context, caller, route, target.method(), target.pathAndQuery(), bytes, plain),
                    SERVICE_REQUEST_TOKENS);
        });
    }

    private Response handle(HttpHeaders headers, CallerConnection connection, RequestParser preparation) {
        RequestRecord log = metrics.newRecord(CallerContext.newRequestId());
        RunningRequest request = null;
        try {
            if (hostPhase.isDraining()) {
                throw new RequestFailedException(ErrorKind.LEAVING, "this host is shutting down");
            }
            CallerContext context = CallerContext.of(log.requestId(), headers);
            ParsedRequest prepared = preparation.parse(context);
            log.setRequest(prepared.request());
            request = new RunningRequest(
                    log, runningRequests.add(prepared.request().keyId()));
            Answer answer = pipeline.run(prepared.request(), prepared.promptTokens());
            request.onKeyRevoked(answer::close);
            log.setServingDataCentre(answer.dataCentre());
            return toResponse(
                    request,
                    answer,
                    new ResponseWriter(request, answer, prepared.request().streamed(), connection));
        } catch (RequestFailedException e) {
            return fail(log, request, e);
        } catch (RuntimeException e) {
            LOG.error("request {} failed", log.requestId(), e);
            return fail(log, request, new RequestFailedException(ErrorKind.INTERNAL, "internal error", e));
        }
    }

    private static Response fail(RequestRecord log, RunningRequest request, RequestFailedException e) {
        log.recordFailure(e);
        if (request == null) {
            log.close();
        } else {
            request.close();
        }
        return ErrorResponses.toResponse(log.requestId(), e);
    }

    private static Response toResponse(RunningRequest request, Answer answer, ResponseWriter body) {
        return Response.status(answer.status())
                .header(HttpHeaders.CONTENT_TYPE, answer.contentType())
                .header(CallerContext.REQUEST_ID_HEADER, request.requestRecord().requestId())
                .header(DATA_CENTRE_HEADER, answer.dataCentre())
                .entity(body)
                .build();
    }

    private static byte[] readBody(InputStream body) throws RequestFailedException {
        try {
            byte[] bytes = ByteStreams.limit(body, MAX_BODY_BYTES + 1L).readAllBytes();
            if (bytes.length > MAX_BODY_BYTES) {
                throw new RequestFailedException(
                        ErrorKind.REQUEST_TOO_LARGE, "the body is longer than " + MAX_BODY_BYTES + " bytes");
            }
            return bytes;
        } catch (IOException e) {
            throw new RequestFailedException(ErrorKind.INVALID_REQUEST, "the body did not arrive whole", e);
        }
    }

    private Caller authenticate(CallerContext context, CallerConnection connection) throws RequestFailedException {
        if (!ApiKeyAuthenticator.hasCredentials(context.authorization())) {
            return new Caller("", null);
        }
        ApiKey key = authenticator.authenticate(context.authorization(), connection.remoteAddress());
        return new Caller(key.id(), authenticator.accountOf(key));
    }

    private GatewayRequest buildRequest(
            CallerContext context,
            Caller caller,
            Route route,
            String method,
            String path,
            byte[] body,
            ModelRequest model)
            throws RequestFailedException {
        ClientAccount account = authorize(caller, route);
        if (route.idempotencyOf(method).isEmpty()) {
            throw new RequestFailedException(ErrorKind.METHOD_NOT_ALLOWED, "the route does not take " + method);
        }
        FleetConfiguration current = configuration.current().configuration();
        Set<String> allowed = current.allowedDataCentres(account, route);
        if (allowed.isEmpty()) {
            throw new RequestFailedException(
                    ErrorKind.FORBIDDEN, "the account's and the route's residency have no data centre in common");
        }
        return new GatewayRequest(
                context.requestId(),
                account,
                caller.keyId(),
                route,
                method,
                path,
                context.contentType(),
                context.accept(),
                body,
                model.maxTotalTokens(),
                model.prefixHash(),
                model.streaming(),
                allowed,
                context.idempotencyKey(),
                System.nanoTime() + context.timeout().orElse(defaultTimeout).toNanos());
    }

    private static ClientAccount authorize(Caller caller, Route route) throws RequestFailedException {
        if (caller.account() != null) {
            if (!route.allows(caller.account().name())) {
                throw new RequestFailedException(ErrorKind.FORBIDDEN, "the account may not use this route");
            }
            return caller.account();
        }
        if (!route.open()) {
            throw new RequestFailedException(ErrorKind.UNAUTHENTICATED, "the route needs a key");
        }
        return AnonymousAccount.forRoute(route);
    }

    /**
     * Where a request to a plain service goes.
     *
     * @param service name of the service
     * @param method HTTP method
     * @param path path below the service
     * @param query the query as it came; may be null
     */
    record ServiceTarget(String service, String method, String path, String query) {

        private String pathAndQuery() {
            return query == null || query.isEmpty() ? path : path + '?' + query;
        }
    }

    /** Turns headers and body into a request. */
    @FunctionalInterface
    private interface RequestParser {
        ParsedRequest parse(CallerContext context) throws RequestFailedException;
    }

    private record ParsedRequest(GatewayRequest request, long promptTokens) {}

    /** Whose request it is; the account is null if no key was presented. */
    private record Caller(String keyId, ClientAccount account) {}
}
