package org.toucanlane.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Finds heads that a decoder has put together from several responses. If a server breaks a response off within its head
 * and sends another one on the same connection, the status line of the latter continues the reason phrase or a header of the
 * former.
 *
 * <p>Stateless and thread-safe.
 */
final class ResponseHeadCheck {

    private static final String PROTOCOL = "HTTP/";
    private static final Pattern STATUS_LINE = Pattern.compile(PROTOCOL + "\\d\\.\\d\\s+\\d{3}");

    private ResponseHeadCheck() {}

    /** Returns the part of the head that contains the start of another response, or empty if there is none. */
    static Optional<String> findMergedPart(HttpResponse response) {
        HttpVersion version = response.protocolVersion();
        if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
            return Optional.of("version " + version);
        }
        return Stream.concat(
                        Stream.of("reason phrase " + response.status().reasonPhrase()),
                        response.headers().entries().stream().map(ResponseHeadCheck::line))
                .filter(part ->
                        part.contains(PROTOCOL) && STATUS_LINE.matcher(part).find())
                .findFirst();
    }

    /** Returns whether a part of a response's body contains a status line, so that another response may have begun. */
    static boolean containsStatusLine(ByteBuf content) {
        return STATUS_LINE
                .matcher(content.toString(StandardCharsets.ISO_8859_1))
                .find();
    }

    private static String line(Map.Entry<String, String> header) {
        return header.getKey() + ": " + header.getValue();
    }
}
