package org.toucanlane.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.nio.charset.StandardCharsets;

/**
 * The response to input that could not be read as a request.
 *
 * @param status HTTP status
 * @param body JSON text, or empty
 */
public record ServerRejection(int status, String body) {

    /** Returns the response, after which the connection is closed. */
    FullHttpResponse response() {
        ByteBuf content = Unpooled.copiedBuffer(body, StandardCharsets.UTF_8);
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        return response;
    }

    /** The reason why a request could not be read. */
    public enum Reason {
        /** The input is not valid HTTP. */
        MALFORMED(400),
        /** The request line or the headers are too long. */
        HEAD_TOO_LONG(431),
        /** The body is too long. */
        BODY_TOO_LONG(413),
        /** The request did not arrive in time. */
        TOO_SLOW(408),
        /** The server closes before the request has arrived completely. */
        CLOSING(503);

        private final int status;

        Reason(int status) {
            this.status = status;
        }

        /** Returns the reason for which the decoder of requests failed with {@code cause}. */
        static Reason of(Throwable cause) {
            return cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException
                    ? HEAD_TOO_LONG
                    : MALFORMED;
        }

        /** Returns the HTTP status. */
        public int status() {
            return status;
        }
    }
}
