package org.toucanlane.edge.call;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** Translates between this product's types and the headers that callers and endpoints speak. Thread-safe. */
public interface CallDialect {

    /**
     * Reads a caller's request.
     *
     * @throws InvalidCallException if a header can't be read
     */
    CallHead readRequest(HttpRequest request) throws InvalidCallException;

    /** Returns the headers with which a request goes to an endpoint. */
    HttpHeaders endpointHeaders(HttpRequest request, EndpointRequest send);

    /** Returns the headers with which a request goes to another host: the caller's own without its key. */
    HttpHeaders hopHeaders(HttpRequest request);

    /** Reads the head of an endpoint's answer. */
    EndpointResponse readResponse(HttpResponse response);

    /** Returns the headers of an endpoint's answer that are passed on. */
    HttpHeaders responseHeaders(HttpResponse response);

    /** Returns an answer of this host itself. */
    FullHttpResponse refusalResponse(Refusal refusal);
}
