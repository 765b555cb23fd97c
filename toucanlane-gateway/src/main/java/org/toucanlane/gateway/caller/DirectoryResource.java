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

/** Answers callers that ask which host to use. Thread-safe. */
@Path("/v1/hosts")
public final class DirectoryResource {

    private final KeyRing keys;
    private final HostDirectory directory;

    /** Creates a resource. */
    @Inject
    public DirectoryResource(KeyRing keys, HostDirectory directory) {
        this.keys = keys;
        this.directory = directory;
    }

    /** Lists hosts for the key's account, the best first. */
    @GET
    public Response hosts(
            @HeaderParam(HttpHeaders.AUTHORIZATION) String authorization, @Context HttpServletRequest request) {
        String requestId = CallerContext.newRequestId();
        try {
            HostDirectory.Listing listing =
                    directory.listFor(keys.accountOf(keys.authenticate(authorization, request.getRemoteAddr())));
            return Response.ok(listing, MediaType.APPLICATION_JSON_TYPE)
                    .header(CallerContext.REQUEST_ID_HEADER, requestId)
                    .build();
        } catch (RequestFailedException e) {
            return Refusals.toResponse(requestId, e);
        }
    }
}
