package org.toucanlane.edge.http;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * Finds status lines where none belongs. If a server breaks a response off and sends another one on the same connection, the
 * status line of the latter stands within the head or the body of the former.
 *
 * <p>Stateless and thread-safe.
 */
final class StatusLines {

    private static final Pattern STATUS_LINE = Pattern.compile("(?i)HTTP/\\d\\.\\d[ \\t]+\\d{3}(?!\\S)");

    private StatusLines() {}

    /** Returns whether a status line begins in {@code text} at {@code from} or later. */
    static boolean isIn(String text, int from) {
        return from < text.length() && STATUS_LINE.matcher(text).find(from);
    }

    /** Returns whether a status line begins in a part of a response's body. */
    static boolean isIn(ByteBuf content) {
        return isIn(content.toString(StandardCharsets.ISO_8859_1), 0);
    }
}
