package org.toucanlane.edge.call;

import com.google.common.base.CharMatcher;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events into complete events (WHATWG HTML, "Server-sent events"), so that a truncated
 * event, or bytes that are no events, are never forwarded.
 *
 * <p>Invariants: the ids of the returned events increase strictly, and the first returned bytes include an event with a
 * new id, so that the text of an error isn't taken for a part of the stream. Used on one event loop only.
 */
final class EventSplitter {

    /** Maximum size of an event. A model engine does not send longer ones. */
    private static final int MAX_EVENT_BYTES = 64 << 10;

    /** Characters of a field's name, with which each line begins that is neither blank nor a comment. */
    private static final CharMatcher FIELD_NAME = CharMatcher.inRange('a', 'z')
            .or(CharMatcher.inRange('A', 'Z'))
            .or(CharMatcher.inRange('0', '9'))
            .or(CharMatcher.anyOf("-_"))
            .precomputed();

    private ByteBuf remainder = Unpooled.EMPTY_BUFFER;
    private long lastId;
    private int eventCount;

    /** Creates a splitter that skips events up to and including {@code lastId}. */
    EventSplitter(long lastId) {
        this.lastId = lastId;
    }

    /**
     * Appends {@code bytes} to the stream and releases them.
     *
     * @return the events that are now complete, or an empty buffer; events without an id in front of the first one with a
     *     new id are returned together with it
     * @throws MalformedStreamException if the bytes aren't valid events
     */
    ByteBuf split(ByteBuf bytes) throws MalformedStreamException {
        ByteBuf buffer = remainder.isReadable() ? Unpooled.wrappedBuffer(remainder, bytes) : bytes;
        remainder = Unpooled.EMPTY_BUFFER;
        try {
            return splitAll(buffer);
        } finally {
            buffer.release();
        }
    }

    private ByteBuf splitAll(ByteBuf buffer) throws MalformedStreamException {
        int from = buffer.readerIndex();
        int firstNewStart = -1;
        int end = eventEnd(buffer, from);
        while (end > 0) {
            boolean isNew = accept(buffer, from, end);
            if (!isNew) {
                // Also skips events without an id in front of it, so that the returned slice has no skipped event.
                firstNewStart = -1;
            } else if (firstNewStart < 0) {
                firstNewStart = from;
            }
            from = end;
            end = eventEnd(buffer, from);
        }
        int returnedStart = firstNewStart < 0 ? from : firstNewStart;
        return extractEvents(buffer, returnedStart, eventCount == 0 ? returnedStart : from);
    }

    /** Returns the events from {@code firstNewStart} to {@code end}, and keeps the bytes behind them. */
    private ByteBuf extractEvents(ByteBuf buffer, int firstNewStart, int end) throws MalformedStreamException {
        int remaining = buffer.writerIndex() - end;
        if (remaining > MAX_EVENT_BYTES) {
            throw new MalformedStreamException("event exceeds the limit of " + MAX_EVENT_BYTES + " bytes");
        }
        if (remaining > 0) {
            remainder = Unpooled.copiedBuffer(buffer.slice(end, remaining));
        }
        return end > firstNewStart ? buffer.retainedSlice(firstNewStart, end - firstNewStart) : Unpooled.EMPTY_BUFFER;
    }

    /**
     * Returns the index after the blank line that ends the event starting at {@code from}, or -1 if it is incomplete.
     */
    private static int eventEnd(ByteBuf bytes, int from) {
        int line = from;
        int end = bytes.indexOf(line, bytes.writerIndex(), (byte) '\n');
        while (end >= 0) {
            if (isBlank(bytes, line, end) && line > from) {
                return end + 1;
            }
            line = end + 1;
            end = bytes.indexOf(line, bytes.writerIndex(), (byte) '\n');
        }
        return -1;
    }

    private static boolean isBlank(ByteBuf bytes, int line, int end) {
        return end == line || end == line + 1 && bytes.getByte(line) == '\r';
    }

    /** Records the id of an event and returns whether the caller does not have the event yet. */
    private boolean accept(ByteBuf bytes, int from, int end) throws MalformedStreamException {
        String event = bytes.toString(from, end - from, StandardCharsets.UTF_8);
        checkLines(event);
        Optional<Long> id = parseId(event);
        if (id.isEmpty()) {
            return true;
        }
        if (id.get() <= lastId) {
            if (eventCount > 0) {
                throw new MalformedStreamException(
                        "event id " + id.get() + " is not greater than the previous event id " + lastId);
            }
            return false;
        }
        lastId = id.get();
        eventCount++;
        return true;
    }

    private static void checkLines(String event) throws MalformedStreamException {
        int start = 0;
        while (start < event.length()) {
            int end = event.indexOf('\n', start);
            String line = CharMatcher.is('\r').trimTrailingFrom(event.substring(start, end < 0 ? event.length() : end));
            int colon = line.indexOf(':');
            if (!FIELD_NAME.matchesAllOf(colon < 0 ? line : line.substring(0, colon))) {
                throw new MalformedStreamException("the stream has a line that is no field of an event");
            }
            start = end < 0 ? event.length() : end + 1;
        }
    }

    private static Optional<Long> parseId(String event) throws MalformedStreamException {
        int at = event.startsWith("id:") ? 0 : event.indexOf("\nid:") + 1;
        if (at == 0 && !event.startsWith("id:")) {
            return Optional.empty();
        }
        int end = event.indexOf('\n', at);
        String value = event.substring(at + 3, end < 0 ? event.length() : end).trim();
        try {
            return Optional.of(Long.parseLong(value));
        } catch (NumberFormatException e) {
            throw new MalformedStreamException("event id is not a number");
        }
    }

    /** Returns the number of buffered bytes of an event that is not yet complete. */
    int partialEventBytes() {
        return remainder.readableBytes();
    }

    /** Returns whether the bytes so far end inside an event or a line, rather than after comments or blank lines. */
    boolean isInsideEvent() {
        int line = remainder.readerIndex();
        while (line < remainder.writerIndex()) {
            int end = remainder.indexOf(line, remainder.writerIndex(), (byte) '\n');
            if (end < 0 || !isBlank(remainder, line, end) && remainder.getByte(line) != ':') {
                return true;
            }
            line = end + 1;
        }
        return false;
    }

    /** Removes and returns the bytes that follow the last complete event. The caller releases them. */
    ByteBuf takeRemainder() {
        ByteBuf taken = remainder;
        remainder = Unpooled.EMPTY_BUFFER;
        return taken;
    }

    /** Returns the id of the last complete event, or the initial id if there was none. */
    long lastId() {
        return lastId;
    }

    /** Returns the number of events with an id that were returned. */
    int eventCount() {
        return eventCount;
    }

    /** Thrown if received bytes are not valid events of the stream. */
    static final class MalformedStreamException extends Exception {

        private static final long serialVersionUID = 1;

        MalformedStreamException(String message) {
            super(message, null, false, false);
        }
    }
}
