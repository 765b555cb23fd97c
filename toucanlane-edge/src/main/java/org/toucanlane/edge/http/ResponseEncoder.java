package org.toucanlane.edge.http;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Encodes the responses to the requests of a {@link RequestDecoder}. Used on one event loop only. */
final class ResponseEncoder extends HttpResponseEncoder {

    private final RequestDecoder requests;

    ResponseEncoder(RequestDecoder requests) {
        this.requests = requests;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
        return HttpMethod.HEAD.equals(requests.method()) || super.isContentAlwaysEmpty(response);
    }
}
