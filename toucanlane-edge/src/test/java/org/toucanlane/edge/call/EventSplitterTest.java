package org.toucanlane.edge.call;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class EventSplitterTest {

    private final EventSplitter splitter = new EventSplitter(-1);

    @Test
    void passesOnWholeEventsOnly() throws Exception {
        assertThat(take("id: 0\ndata: a\n\nid: 1\nda")).isEqualTo("id: 0\ndata: a\n\n");
        assertThat(splitter.hasPartialEvent()).isTrue();
        assertThat(take("ta: b\n")).isEmpty();
        assertThat(take("\n")).isEqualTo("id: 1\ndata: b\n\n");
        assertThat(splitter.hasPartialEvent()).isFalse();
        assertThat(splitter.lastId()).isEqualTo(1);
    }

    @Test
    void givesTheSameEventsHoweverTheBytesAreCut() throws Exception {
        String all = "id: 1\ndata: a\n\nweight: 3\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
        for (int cut = 1; cut < all.length(); cut++) {
            EventSplitter other = new EventSplitter(-1);
            String first = text(other.split(bytes(all.substring(0, cut))));
            String second = text(other.split(bytes(all.substring(cut))));
            assertThat(first + second).isEqualTo(all);
            assertThat(other.eventCount()).isEqualTo(3);
        }
    }

    @Test
    void leavesOutEventsThatTheCallerHas() throws Exception {
        EventSplitter resumed = new EventSplitter(2);
        assertThat(text(resumed.split(bytes("id: 2\ndata: b\n\nid: 3\ndata: c\n\n"))))
                .isEqualTo("id: 3\ndata: c\n\n");
    }

    @Test
    void refusesAnEventThatComesTwice() throws Exception {
        take("id: 5\ndata: a\n\n");
        assertThatThrownBy(() -> take("id: 5\ndata: a\n\n")).isInstanceOf(EventSplitter.MalformedStreamException.class);
    }

    @Test
    void refusesAnIdThatIsNoNumber() {
        assertThatThrownBy(() -> take("id: x\ndata: a\n\n")).isInstanceOf(EventSplitter.MalformedStreamException.class);
    }

    private String take(String text) throws EventSplitter.MalformedStreamException {
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
