package org.toucanlane.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Sends the response to one request: either call {@link #respond} once, or {@link #begin}, any number of {@link #send},
 * then {@link #finish} or {@link #abort}.
 *
 * <p>Used on the event loop of its connection only. Calls after the caller has disconnected have no effect.
 */
public interface Responder {

    /** Sends a complete response. */
    void respond(FullHttpResponse response);

    /** Sends the head of a streamed response together with the first part of its body. */
    void begin(HttpResponse head, ByteBuf first);

    /** Sends a part of the response body. */
    void send(ByteBuf content);

    /** Ends the response. */
    void finish();

    /** Closes the connection after the data sent so far, so that the caller detects an incomplete response. */
    void abort();

    /** Returns whether the write buffer accepts more data. */
    boolean isWritable();

    /** Returns the IP address of the caller. */
    String callerAddress();

    /** Returns whether the caller is still connected. */
    boolean isOpen();

    /** Sets the listener for connection events, replacing any previous one. */
    void setListener(Listener listener);

    /** Receives events of the caller's connection. */
    interface Listener {

        /** Called when the caller has closed the connection. */
        void onCallerDisconnected();

        /** Called when the server is about to close: the listener ends the response at once. */
        void onServerClosing();

        /** Called when the write buffer becomes writable or stops being writable. */
        void onWritabilityChanged(boolean writable);
    }
}
