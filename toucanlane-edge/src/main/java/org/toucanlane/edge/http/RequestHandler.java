package org.toucanlane.edge.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import org.toucanlane.policy.overload.ArrivalQueue;

/** Handles completely received requests. Called on the event loop of the request's connection. */
public interface RequestHandler {

    /** Handles {@code request}. The response may be sent later; the handler releases the body. */
    void handle(InboundRequest request);

    /**
     * Reads what decides when {@code request} is handled while the event loop is late. If the result isn't empty, one of its
     * methods is called instead of {@link #handle}, unless the caller has left before.
     *
     * @return empty if the request is to be passed to {@link #handle} without delay
     */
    default Optional<Prepared> prepare(InboundRequest request) {
        return Optional.empty();
    }

    /** Refuses {@code request}, for whose body there is no memory. The body of {@code request} is empty. */
    default void refuseForMemory(InboundRequest request) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER);
        response.headers().set(HttpHeaderNames.RETRY_AFTER, 1);
        request.responder().respond(response);
    }

    /** Returns the response to input that is not an acceptable request. The connection is closed after it. */
    default ServerRejection rejectionFor(ServerRejection.Reason reason) {
        return new ServerRejection(reason.status(), "");
    }

    /** A request that waits while the event loop is late. */
    interface Prepared {

        /** Returns what the caller needs. */
        ArrivalQueue.Terms terms();

        /** Handles the request, as {@link RequestHandler#handle} does. */
        void handle();

        /** Refuses the request, which is too late for its caller or keeps others from being on time. */
        void refuseAsLate();
    }
}
