package org.toucanlane.edge.call;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events into whole events (WHATWG HTML, "Server-sent events"), so that an event that
 * broke off is never passed on.
 *
 * <p>Invariant: the ids of the events that were returned increase. Used on one event loop only.
 */
final class EventSplitter {

    /** An event that is longer than this is no event of a model engine. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private ByteBuf remainder = Unpooled.EMPTY_BUFFER;
    private long lastId;
    private int eventCount;

    /** Creates a splitter for events after {@code lastId}; events up to it are left out. */
    EventSplitter(long lastId) {
        this.lastId = lastId;
    }

    /**
     * Takes bytes and releases them.
     *
     * @return the whole events that are now complete, or an empty buffer
     * @throws MalformedStreamException if the bytes can't be events
     */
    ByteBuf split(ByteBuf bytes) throws MalformedStreamException {
        ByteBuf all = remainder.isReadable() ? Unpooled.wrappedBuffer(remainder, bytes) : bytes;
        remainder = Unpooled.EMPTY_BUFFER;
        int start = all.readerIndex();
        int from = start;
        int keptFrom = -1;
        int end = eventEnd(all, from);
        while (end > 0) {
            boolean wanted = accept(all, from, end);
            if (wanted && keptFrom < 0) {
                keptFrom = from;
            }
            from = end;
            end = eventEnd(all, from);
        }
        return extractEvents(all, keptFrom < 0 ? from : keptFrom, from);
    }

    private ByteBuf extractEvents(ByteBuf all, int keptFrom, int end) throws MalformedStreamException {
        int left = all.writerIndex() - end;
        if (left > MAX_EVENT_BYTES) {
            all.release();
            throw new MalformedStreamException("an event exceeds " + MAX_EVENT_BYTES + " bytes");
        }
        if (left > 0) {
            remainder = Unpooled.copiedBuffer(all.slice(end, left));
        }
        ByteBuf whole = end > keptFrom ? all.retainedSlice(keptFrom, end - keptFrom) : Unpooled.EMPTY_BUFFER;
        all.release();
        return whole;
    }

    /** Returns the index behind the blank line that ends the event that starts at {@code from}, or -1. */
    private static int eventEnd(ByteBuf bytes, int from) {
        int line = from;
        int end = bytes.indexOf(line, bytes.writerIndex(), (byte) '\n');
        while (end >= 0) {
            int length = end - line;
            boolean blank = length == 0 || length == 1 && bytes.getByte(line) == '\r';
            if (blank && line > from) {
                return end + 1;
            }
            line = end + 1;
            end = bytes.indexOf(line, bytes.writerIndex(), (byte) '\n');
        }
        return -1;
    }

    /** Notes an event's id; returns whether the caller does not have the event yet. */
    private boolean accept(ByteBuf bytes, int from, int end) throws MalformedStreamException {
        Optional<Long> id = parseId(bytes.toString(from, end - from, StandardCharsets.UTF_8));
        if (id.isEmpty()) {
            return true;
        }
        if (id.get() <= lastId) {
            if (eventCount > 0) {
                throw new MalformedStreamException("event " + id.get() + " came after event " + lastId);
            }
            return false;
        }
        lastId = id.get();
        eventCount++;
        return true;
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
            throw new MalformedStreamException("an event's id is no number");
        }
    }

    /** Returns whether an event has begun and not ended. */
    boolean hasPartialEvent() {
        return remainder.isReadable();
    }

    /** Returns the id of the newest whole event, or that given at the start. */
    long lastId() {
        return lastId;
    }

    /** Returns how many events with an id were returned. */
    int eventCount() {
        return eventCount;
    }

    /** Thrown for bytes that can't be events of the stream. */
    static final class MalformedStreamException extends Exception {

        private static final long serialVersionUID = 1;

        MalformedStreamException(String message) {
            super(message, null, false, false);
        }
    }
}
