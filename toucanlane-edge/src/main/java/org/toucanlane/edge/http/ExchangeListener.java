package org.toucanlane.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives what becomes of one request that was handed to a {@link ChannelPool}.
 *
 * <p>After {@link #onFailed} or the last {@link #onData} nothing more is called. All calls come on the pool's event loop.
 */
public interface ExchangeListener {

    /** A connection was found; the request is being written to it, and {@link ClientCall#cancel} closes it. */
    void onStarted(ClientCall call);

    /**
     * The head of an answer has come.
     *
     * @return whether it is the answer to this request; another answer is dropped, and the connection is not kept
     */
    boolean onHead(HttpResponse response);

    /**
     * Some of the body has come. The receiver releases {@code content}.
     *
     * @param last whether the answer is complete
     */
    void onData(ByteBuf content, boolean last);

    /** The request has failed. */
    void onFailed(Stage stage, Throwable cause);

    /** How far a request had come when it failed. */
    enum Stage {
        /** No byte of it was written. */
        NOT_SENT,
        /** Some of it may have been read; no answer has come. */
        SENT,
        /** The answer broke off. */
        ANSWERING
    }
}
