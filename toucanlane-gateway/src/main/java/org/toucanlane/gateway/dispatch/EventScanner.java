package org.toucanlane.gateway.dispatch;

import java.nio.charset.StandardCharsets;

/**
 * Counts the events of a server-sent event stream (WHATWG HTML, section 9.2) that passes by in pieces, and notices its
 * end marker, {@code data: [DONE]}.
 *
 * <p>Holds no content but the start of the current line. Not thread-safe.
 */
final class EventScanner {

    private static final byte[] DATA = "data:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] DONE = "data: [DONE]".getBytes(StandardCharsets.US_ASCII);

    private final byte[] start = new byte[DONE.length];
    private int lineLength;
    private long count;
    private boolean ended;

    void scan(byte[] bytes, int length) {
        for (int i = 0; i < length; i++) {
            byte next = bytes[i];
            if (next == '\n') {
                endLine();
            } else if (next != '\r') {
                if (lineLength < start.length) {
                    start[lineLength] = next;
                }
                lineLength++;
            }
        }
    }

    private void endLine() {
        if (lineLength == DONE.length && startsWith(DONE)) {
            ended = true;
        } else if (lineLength >= DATA.length && startsWith(DATA)) {
            count++;
        }
        lineLength = 0;
    }

    private boolean startsWith(byte[] prefix) {
        for (int i = 0; i < prefix.length; i++) {
            if (start[i] != prefix[i]) {
                return false;
            }
        }
        return true;
    }

    long count() {
        return count;
    }

    boolean isEnded() {
        return ended;
    }
}
