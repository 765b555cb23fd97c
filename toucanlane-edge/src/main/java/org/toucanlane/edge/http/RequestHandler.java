package org.toucanlane.edge.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/** Handles completely received requests. Called on the event loop of the request's connection. */
public interface RequestHandler {

    /** Handles {@code request}. The response may be sent later; the handler releases the body. */
    void handle(InboundRequest request);

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
}
