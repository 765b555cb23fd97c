package org.toucanlane.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Takes the answer to one request: either {@link #respond} once, or {@link #begin}, any number of {@link #send}, then
 * {@link #finish} or {@link #abort}.
 *
 * <p>Used on its connection's event loop only. Calls after the caller has gone have no effect.
 */
public interface Responder {

    /** Sends a whole answer. */
    void respond(FullHttpResponse response);

    /** Sends the head of an answer whose body follows; with a first part, so that both travel together. */
    void begin(HttpResponse head, ByteBuf first);

    /** Sends a part of the body. */
    void send(ByteBuf content);

    /** Ends the answer. */
    void finish();

    /** Closes the connection, so that the answer is seen to be incomplete. */
    void abort();

    /** Returns whether the caller takes more now. */
    boolean isWritable();

    /** Returns whether the caller is still connected. */
    boolean isOpen();

    /** Sets what is told of the caller; at most one listener. */
    void setListener(Listener listener);

    /** Hears of the caller's side. */
    interface Listener {

        /** The caller has closed its connection. */
        void onCallerDisconnected();

        /** The caller takes more, or no more, for now. */
        void onWritabilityChanged(boolean writable);
    }
}
