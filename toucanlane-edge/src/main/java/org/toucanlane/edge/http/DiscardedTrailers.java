package org.toucanlane.edge.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/**
 * The fields behind a chunked body. They are counted by the decoder against the limit on the size of a head, and not kept: no request is forwarded with trailers, and a short field takes many times its length in memory.
 *
 * <p>Used on one event loop only.
 */
final class DiscardedTrailers extends DefaultHttpHeaders {

    /** Creates instances of this class. */
    static final HttpHeadersFactory FACTORY = new HttpHeadersFactory() {
        @Override
        public HttpHeaders newHeaders() {
            return new DiscardedTrailers();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return new DiscardedTrailers();
        }
    };

    private DiscardedTrailers() {}

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        return this;
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        return add((CharSequence) name, value);
    }
}
