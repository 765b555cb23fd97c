package org.toucanlane.edge.call;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class EventSplitterTest {

    private final EventSplitter splitter = new EventSplitter(-1);

    @Test
    void returnsOnlyCompleteEvents() throws Exception {
        assertThat(split("id: 0\ndata: a\n\nid: 1\nda")).isEqualTo("id: 0\ndata: a\n\n");
        assertThat(splitter.partialEventBytes()).isEqualTo("id: 1\nda".length());
        assertThat(split("ta: b\n")).isEmpty();
        assertThat(split("\n")).isEqualTo("id: 1\ndata: b\n\n");
        assertThat(splitter.partialEventBytes()).isZero();
        assertThat(splitter.lastId()).isEqualTo(1);
    }

    @Test
    void returnsSameEventsForEveryChunkBoundary() throws Exception {
        String stream = "id: 1\ndata: a\n\nweight: 3\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
        for (int boundary = 1; boundary < stream.length(); boundary++) {
            EventSplitter chunked = new EventSplitter(-1);
            String first = text(chunked.split(bytes(stream.substring(0, boundary))));
            String second = text(chunked.split(bytes(stream.substring(boundary))));
            assertThat(first + second).isEqualTo(stream);
            assertThat(chunked.eventCount()).isEqualTo(3);
        }
    }

    @Test
    void skipsEventsThatTheCallerHasReceived() throws Exception {
        EventSplitter resumed = new EventSplitter(2);
        assertThat(text(resumed.split(bytes("id: 2\ndata: b\n\nid: 3\ndata: c\n\n"))))
                .isEqualTo("id: 3\ndata: c\n\n");
    }

    /** Regression test: an event without an id in front of it made a skipped event be returned again. */
    @Test
    void skipsEventsThatFollowAnEventWithoutId() throws Exception {
        EventSplitter resumed = new EventSplitter(2);
        assertThat(text(resumed.split(bytes(": resumed\n\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"))))
                .isEqualTo("id: 3\ndata: c\n\n");
    }

    @Test
    void isInsideEventUnlessOnlyCommentsOrBlankLinesFollowTheLastEvent() throws Exception {
        for (String lineEnd : List.of("\n", "\r\n")) {
            String stream = "id: 1|data: a||: comment|||: comment|".replace("|", lineEnd);
            List<Integer> ends = new ArrayList<>();
            EventSplitter bytewise = new EventSplitter(-1);
            for (int i = 0; i < stream.length(); i++) {
                bytewise.split(bytes(stream.substring(i, i + 1))).release();
                if (!bytewise.isInsideEvent()) {
                    ends.add(i + 1);
                }
            }
            assertThat(ends).containsExactlyElementsOf(lineEnds(stream, lineEnd));
        }
    }

    /** Returns the indices after each line, from the blank line after the first event on. */
    private static List<Integer> lineEnds(String stream, String lineEnd) {
        int firstEventEnd = stream.indexOf(lineEnd + lineEnd) + 2 * lineEnd.length();
        return IntStream.rangeClosed(firstEventEnd, stream.length())
                .filter(end -> stream.startsWith(lineEnd, end - lineEnd.length()))
                .boxed()
                .toList();
    }

    /** The error of the next endpoint was passed on in the middle of a stream: see docs/incidents/0008. */
    @Test
    void keepsEventsWithoutIdUntilAnEventWithANewId() throws Exception {
        EventSplitter resumed = new EventSplitter(2);
        assertThat(text(resumed.split(bytes("error: overloaded\n\n")))).isEmpty();
        assertThat(resumed.isInsideEvent()).isTrue();
        assertThat(resumed.eventCount()).isZero();
        EventSplitter answered = new EventSplitter(2);
        assertThat(text(answered.split(bytes(": resumed\n\nid: 2\ndata: b\n\n"))))
                .isEmpty();
        assertThat(text(answered.split(bytes(": next\n\n")))).isEmpty();
        assertThat(text(answered.split(bytes("id: 3\ndata: c\n\n: more\n\n"))))
                .isEqualTo(": next\n\nid: 3\ndata: c\n\n: more\n\n");
        assertThat(text(answered.split(bytes(": last\n\n")))).isEqualTo(": last\n\n");
    }

    /** A copy of another response behind the events of a stream was passed on with its head. */
    @Test
    void rejectsLinesThatAreNoFields() {
        for (String line : List.of("HTTP/1.1 500 X", "{\"error\":1}", "<html>", "not a field", "\u0001: x", " id: 7")) {
            EventSplitter started = new EventSplitter(-1);
            assertThatThrownBy(() -> started.split(bytes("id: 1\ndata: a\n\n" + line + "\r\n\r\n")))
                    .as(line)
                    .isInstanceOf(EventSplitter.MalformedStreamException.class);
        }
    }

    /** Bytes of streams that are rejected stayed in memory until the process had none left. */
    @Test
    void releasesTheBytesOfARejectedStream() {
        for (String rejected :
                List.of("id: x\n\n", "id: 5\n\nid: 5\n\n", "HTTP/1.1 500 X\r\n\r\n", "a".repeat(1 << 17))) {
            for (String before : List.of("", "id: 1\ndata: a\n\nid: ", "id: 1")) {
                EventSplitter started = new EventSplitter(-1);
                ByteBuf first = bytes(before);
                ByteBuf second = bytes((before.isEmpty() ? "" : "2\n\n") + rejected);
                assertThatThrownBy(() -> {
                            started.split(first).release();
                            started.split(second);
                        })
                        .isInstanceOf(EventSplitter.MalformedStreamException.class);
                assertThat(first.refCnt() + second.refCnt()).isZero();
            }
        }
    }

    @Test
    void rejectsRepeatedEventId() throws Exception {
        split("id: 5\ndata: a\n\n");
        assertThatThrownBy(() -> split("id: 5\ndata: a\n\n"))
                .isInstanceOf(EventSplitter.MalformedStreamException.class);
    }

    @Test
    void rejectsNonNumericEventId() {
        assertThatThrownBy(() -> split("id: x\ndata: a\n\n"))
                .isInstanceOf(EventSplitter.MalformedStreamException.class);
    }

    private String split(String text) throws EventSplitter.MalformedStreamException {
        return text(splitter.split(bytes(text)));
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }

    private static String text(ByteBuf bytes) {
        String text = bytes.toString(StandardCharsets.UTF_8);
        bytes.release();
        return text;
    }
}
