package org.toucanlane.gateway.caller;

import jakarta.inject.Inject;
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

/** The path to plain services: {@code /services/<service>/<path>}. Thread-safe. */
@Path("/services/{service}/{path:.*}")
public final class PlainResource {

    private final CallerService service;

    /** Creates a resource. */
    @Inject
    public PlainResource(CallerService service) {
        this.service = service;
    }

    /** Passes a GET on. */
    @GET
    public Response get(@PathParam("service") String name, @Context UriInfo uri, @Context HttpHeaders headers) {
        return pass("GET", name, uri, headers, InputStream.nullInputStream());
    }

    /** Passes a POST on. */
    @POST
    public Response post(
            @PathParam("service") String name, @Context UriInfo uri, @Context HttpHeaders headers, InputStream body) {
        return pass("POST", name, uri, headers, body);
    }

    /** Passes a PUT on. */
    @PUT
    public Response put(
            @PathParam("service") String name, @Context UriInfo uri, @Context HttpHeaders headers, InputStream body) {
        return pass("PUT", name, uri, headers, body);
    }

    /** Passes a PATCH on. */
    @PATCH
    public Response patch(
            @PathParam("service") String name, @Context UriInfo uri, @Context HttpHeaders headers, InputStream body) {
        return pass("PATCH", name, uri, headers, body);
    }

    /** Passes a DELETE on. */
    @DELETE
    public Response delete(@PathParam("service") String name, @Context UriInfo uri, @Context HttpHeaders headers) {
        return pass("DELETE", name, uri, headers, InputStream.nullInputStream());
    }

    private Response pass(String method, String name, UriInfo uri, HttpHeaders headers, InputStream body) {
        String whole = uri.getRequestUri().getRawPath();
        String path = whole.substring("/services/".length() + name.length());
        return service.plain(name, method, path, uri.getRequestUri().getRawQuery(), headers, body);
    }
}
