package org.toucanlane.edge.host;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.toucanlane.edge.http.InboundRequest;
import org.toucanlane.edge.http.RequestHandler;
import org.toucanlane.edge.telemetry.CallMetrics;

/** Responds to each request with the host's metrics. Confined to the host's event loop. */
final class MetricsHandler implements RequestHandler {

    private static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private final CallMetrics metrics;

    MetricsHandler(CallMetrics metrics) {
        this.metrics = metrics;
    }

    @Override
    public void handle(InboundRequest request) {
        request.body().release();
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.OK,
                Unpooled.copiedBuffer(metrics.scrape(), StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, CONTENT_TYPE);
        request.responder().respond(response);
    }
}
