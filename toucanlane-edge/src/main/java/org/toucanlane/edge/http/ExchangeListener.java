package org.toucanlane.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response to a request sent through a {@link ChannelPool}, or its failure.
 *
 * <p>No method is called after {@link #onFailed} or the last {@link #onData}. All methods are called on the pool's event
 * loop.
 */
public interface ExchangeListener {

    /** Called when a connection has been selected. {@link ClientCall#cancel} closes it. */
    void onStarted(ClientCall call);

    /**
     * Called with the head of a response.
     *
     * @return whether the response belongs to this request. If it doesn't, it is discarded and the connection is not reused.
     *     If that is unknown, the connection is not reused, and the request fails if the connection has been used before
     */
    ResponseMatch onHead(HttpResponse response);

    /**
     * Called with a part of the response body. The listener releases {@code content}.
     *
     * @param last whether the response is complete
     */
    void onData(ByteBuf content, boolean last);

    /**
     * Called when the request has failed.
     *
     * @param cause a {@link MalformedResponseException} if the response was not valid; another {@link
     *     java.io.IOException} if the connection was lost or could not be established
     */
    void onFailed(Stage stage, Throwable cause);

    /** The stage that a request had reached when it failed. */
    enum Stage {
        /** No byte of the request was written. */
        NOT_SENT,
        /** The server may have read part of the request; no response has arrived. */
        SENT,
        /** The response was truncated. */
        ANSWERING
    }
}
