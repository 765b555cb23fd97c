package org.toucanlane.edge.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/**
 * The fields of a head, each of which is reported as soon as it has been read, so that heads that don't end are noticed. Used
 * on one event loop only.
 */
final class CountedHeaders extends DefaultHttpHeaders {

    private final Runnable onField;

    private CountedHeaders(Runnable onField) {
        this.onField = onField;
    }

    /** Returns a factory for the heads of one connection, which calls {@code onField} after each field. */
    static HttpHeadersFactory factory(Runnable onField) {
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new CountedHeaders(onField);
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return new CountedHeaders(onField);
            }
        };
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        super.add(name, value);
        onField.run();
        return this;
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        return add((CharSequence) name, value);
    }
}
