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
import org.toucanlane.gateway.dispatch.GatewayRequest;
import org.toucanlane.gateway.dispatch.GatewayResponse;
import org.toucanlane.gateway.dispatch.RequestPipeline;
import org.toucanlane.gateway.lifecycle.HostPhase;
import org.toucanlane.gateway.lifecycle.RunningRequests;
import org.toucanlane.gateway.telemetry.RequestMetrics;
import org.toucanlane.gateway.telemetry.RequestRecord;

/**
 * Handles callers' requests: authenticates the caller, resolves the route and the allowed data centres, runs the
 * request through the pipeline and returns the response.
 *
 * <p>Thread-safe.
 */
@Singleton
public final class CallerService {

    /** Maximum size of a request body, in bytes. */
    static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    private static final Logger LOG = LoggerFactory.getLogger(CallerService.class);

    /** Tokens charged for a request to a service that is not a model. */
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
            ApiKeyAuthenticator authenticator,
            RequestPipeline pipeline,
            RunningRequests runningRequests,
            HostPhase hostPhase,
            RequestMetrics metrics,
            GatewaySettings settings) {
        this.configuration = configuration;
        this.authenticator = authenticator;
        this.pipeline = pipeline;
        this.runningRequests = runningRequests;
        this.hostPhase = hostPhase;
        this.metrics = metrics;
        this.defaultTimeout = settings.requestTimeout();
    }

    /** Handles a request to a model. */
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

    /** Handles a request to a service that is not a model. */
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
            ModelRequest sizes = new ModelRequest("", false, SERVICE_REQUEST_TOKENS, 0, "");
            return new ParsedRequest(
                    buildRequest(context, caller, route, target.method(), target.pathAndQuery(), bytes, sizes),
                    SERVICE_REQUEST_TOKENS);
        });
    }

    private Response handle(HttpHeaders headers, CallerConnection connection, RequestParser parser) {
        RequestRecord requestRecord = metrics.newRecord(CallerContext.newRequestId());
        RunningRequest request = null;
        try {
            if (hostPhase.isDraining()) {
                throw new RequestFailedException(ErrorKind.LEAVING, "this host is shutting down");
            }
            CallerContext context = CallerContext.of(requestRecord.requestId(), headers);
            ParsedRequest parsed = parser.parse(context);
            requestRecord.setRequest(parsed.request());
            request = new RunningRequest(
                    requestRecord, runningRequests.add(parsed.request().keyId()));
            GatewayResponse response = pipeline.run(parsed.request(), parsed.promptTokens());
            request.onKeyRevoked(response::close);
            requestRecord.setServingDataCentre(response.dataCentre());
            return toResponse(
                    request,
                    response,
                    new ResponseWriter(request, response, parsed.request().streamed(), connection));
        } catch (RequestFailedException e) {
            return fail(requestRecord, request, e);
        } catch (RuntimeException e) {
            LOG.error("internal error while handling request {}", requestRecord.requestId(), e);
            return fail(requestRecord, request, new RequestFailedException(ErrorKind.INTERNAL, "internal error", e));
        }
    }

    private static Response fail(RequestRecord requestRecord, RunningRequest request, RequestFailedException e) {
        requestRecord.recordFailure(e);
        if (request == null) {
            requestRecord.close();
        } else {
            request.close();
        }
        return ErrorResponses.toResponse(requestRecord.requestId(), e);
    }

    private static Response toResponse(RunningRequest request, GatewayResponse response, ResponseWriter body) {
        return Response.status(response.status())
                .header(HttpHeaders.CONTENT_TYPE, response.contentType())
                .header(CallerContext.REQUEST_ID_HEADER, request.requestRecord().requestId())
                .header(DATA_CENTRE_HEADER, response.dataCentre())
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
     * The target of a request to a service that is not a model.
     *
     * @param service name of the service
     * @param method HTTP method
     * @param path path relative to the service
     * @param query raw query string; may be null
     */
    record ServiceTarget(String service, String method, String path, String query) {

        private String pathAndQuery() {
            return query == null || query.isEmpty() ? path : path + '?' + query;
        }
    }

    /** Builds a request from its headers and body. */
    @FunctionalInterface
    private interface RequestParser {
        ParsedRequest parse(CallerContext context) throws RequestFailedException;
    }

    private record ParsedRequest(GatewayRequest request, long promptTokens) {}

    /** The authenticated caller. If no key was presented, the key id is empty and the account is null. */
    private record Caller(String keyId, ClientAccount account) {}
}
