package org.toucanlane.gateway.caller;

import jakarta.inject.Inject;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.ws.rs.DELETE;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.PATCH;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.PUT;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.core.UriInfo;
import java.io.InputStream;

/** Forwards requests for {@code /services/<service>/<path>} to services that are not models. Thread-safe. */
@Path("/services/{service}/{path:.*}")
public final class ServiceResource {

    private final CallerService service;

    /** Creates a resource. */
    @Inject
    public ServiceResource(CallerService service) {
        this.service = service;
    }

    /** Forwards a GET request. */
    @GET
    public Response get(
            @PathParam("service") String name,
            @Context UriInfo uri,
            @Context HttpHeaders headers,
            @Context HttpServletRequest request) {
        return forward("GET", name, uri, headers, request, InputStream.nullInputStream());
    }

    /** Forwards a POST request. */
    @POST
    public Response post(
            @PathParam("service") String name,
            @Context UriInfo uri,
            @Context HttpHeaders headers,
            @Context HttpServletRequest request,
            InputStream body) {
        return forward("POST", name, uri, headers, request, body);
    }

    /** Forwards a PUT request. */
    @PUT
    public Response put(
            @PathParam("service") String name,
            @Context UriInfo uri,
            @Context HttpHeaders headers,
            @Context HttpServletRequest request,
            InputStream body) {
        return forward("PUT", name, uri, headers, request, body);
    }

    /** Forwards a PATCH request. */
    @PATCH
    public Response patch(
            @PathParam("service") String name,
            @Context UriInfo uri,
            @Context HttpHeaders headers,
            @Context HttpServletRequest request,
            InputStream body) {
        return forward("PATCH", name, uri, headers, request, body);
    }

    /** Forwards a DELETE request. */
    @DELETE
    public Response delete(
            @PathParam("service") String name,
            @Context UriInfo uri,
            @Context HttpHeaders headers,
            @Context HttpServletRequest request) {
        return forward("DELETE", name, uri, headers, request, InputStream.nullInputStream());
    }

    private Response forward(
            String method,
            String name,
            UriInfo uri,
            HttpHeaders headers,
            HttpServletRequest request,
            InputStream body) {
        String rawPath = uri.getRequestUri().getRawPath();
        String path = rawPath.substring("/services/".length() + name.length());
        CallerService.ServiceTarget target = new CallerService.ServiceTarget(
                name, method, path, uri.getRequestUri().getRawQuery());
        return service.handleServiceRequest(target, headers, new CallerConnection(request), body);
    }
}
