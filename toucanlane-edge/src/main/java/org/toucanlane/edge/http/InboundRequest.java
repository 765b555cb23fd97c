package org.toucanlane.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;

/**
 * A request that was read whole, with the means to answer it. Used on its connection's event loop only.
 *
 * @param head method, target and headers
 * @param body whole body; the handler releases it
 * @param responder takes the answer
 * @param receivedAt when its last byte was read, in nanoseconds of {@link System#nanoTime()}
 */
public record InboundRequest(HttpRequest head, ByteBuf body, Responder responder, long receivedAt) {}
