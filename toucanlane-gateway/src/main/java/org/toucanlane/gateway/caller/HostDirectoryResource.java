package org.toucanlane.gateway.caller;

import jakarta.inject.Inject;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HeaderParam;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import org.toucanlane.domain.outcome.RequestFailedException;

/** Tells callers which hosts to use. Thread-safe. */
@Path("/v1/hosts")
public final class HostDirectoryResource {

    private final ApiKeyAuthenticator authenticator;
    private final HostDirectory directory;

    /** Creates a resource. */
    @Inject
    public HostDirectoryResource(ApiKeyAuthenticator authenticator, HostDirectory directory) {
        this.authenticator = authenticator;
        this.directory = directory;
    }

    /** Lists the hosts for the key's account, in order of preference. */
    @GET
    public Response hosts(
            @HeaderParam(HttpHeaders.AUTHORIZATION) String authorization, @Context HttpServletRequest request) {
        String requestId = CallerContext.newRequestId();
        try {
            HostDirectory.Listing listing = directory.listFor(
                    authenticator.accountOf(authenticator.authenticate(authorization, request.getRemoteAddr())));
            return Response.ok(listing, MediaType.APPLICATION_JSON_TYPE)
                    .header(CallerContext.REQUEST_ID_HEADER, requestId)
                    .build();
        } catch (RequestFailedException e) {
            return ErrorResponses.toResponse(requestId, e);
        }
    }
}
