package org.toucanlane.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;

/**
 * A completely received request and the responder for it. Used on the event loop of its connection only.
 *
 * @param head method, target and headers
 * @param body complete body; the handler releases it
 * @param responder receives the response
 * @param receivedAt time since which the last byte may have been waiting to be read, as a {@link System#nanoTime()} value;
 *     deadlines count from it
 */
public record InboundRequest(HttpRequest head, ByteBuf body, Responder responder, long receivedAt) {}
