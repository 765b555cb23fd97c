package org.toucanlane.edge.call;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** Translates between the types of this package and the headers of callers and endpoints. Thread-safe. */
public interface CallDialect {

    /** Returns the caller's id of a request, or an empty string if there is none. */
    String requestId(HttpRequest request);

    /**
     * Parses the headers of a caller's request.
     *
     * @throws InvalidCallException if a header is invalid
     */
    CallHead readRequest(HttpRequest request) throws InvalidCallException;

    /** Returns the headers of the request to an endpoint. */
    HttpHeaders endpointHeaders(HttpRequest request, EndpointRequest endpointRequest);

    /** Returns the headers of a request forwarded to another host: those of the caller without its key. */
    HttpHeaders hopHeaders(HttpRequest request);

    /** Parses the headers of an endpoint's response. */
    EndpointResponse readResponse(HttpResponse response);

    /** Returns the headers of an endpoint's response that are forwarded to the caller. */
    HttpHeaders responseHeaders(HttpResponse response);

    /** Returns the response for a request that this host refuses. */
    FullHttpResponse refusalResponse(Refusal refusal);
}
