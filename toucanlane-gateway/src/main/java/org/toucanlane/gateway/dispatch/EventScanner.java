package org.toucanlane.gateway.dispatch;

import java.nio.charset.StandardCharsets;

/**
 * Counts the {@code data} lines of a server-sent event stream (WHATWG HTML, section 9.2) other than its end marker,
 * {@code data: [DONE]}, which it detects. The stream may arrive in chunks of any size.
 *
 * <p>Buffers only the start of the current line. Not thread-safe.
 */
final class EventScanner {

    private static final byte[] DATA_PREFIX = "data:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] END_MARKER = "data: [DONE]".getBytes(StandardCharsets.US_ASCII);

    private final byte[] lineStart = new byte[END_MARKER.length];
    private int lineLength;
    private long eventCount;
    private boolean ended;

    void scan(byte[] bytes, int length) {
        for (int i = 0; i < length; i++) {
            byte current = bytes[i];
            if (current == '\n') {
                endLine();
            } else if (current != '\r') {
                if (lineLength < lineStart.length) {
                    lineStart[lineLength] = current;
                }
                lineLength++;
            }
        }
    }

    private void endLine() {
        if (lineLength == END_MARKER.length && startsWith(END_MARKER)) {
            ended = true;
        } else if (lineLength >= DATA_PREFIX.length && startsWith(DATA_PREFIX)) {
            eventCount++;
        }
        lineLength = 0;
    }

    private boolean startsWith(byte[] prefix) {
        for (int i = 0; i < prefix.length; i++) {
            if (lineStart[i] != prefix[i]) {
                return false;
            }
        }
        return true;
    }

    long eventCount() {
        return eventCount;
    }

    boolean isEnded() {
        return ended;
    }
}
