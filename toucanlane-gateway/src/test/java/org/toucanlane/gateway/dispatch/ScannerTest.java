package org.toucanlane.gateway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ScannerTest {

    private static final String STREAM =
            ": comment\ndata: {\"a\":1}\n\ndata:{\"b\":2}\r\n\r\nevent: x\ndata: [DONE]\n\n";
    private static final String RESPONSE =
            "{\"total_tokens\":1,\"usage\":{\"prompt_tokens\":3,\"total_tokens\":42},\"x\":{\"total_tokens\":7}}";

    @Property(tries = 300, seed = "20261204")
    void eventsAreCountedForAnyChunkSize(@ForAll @IntRange(min = 1, max = 20) int size) {
        EventScanner scanner = new EventScanner();
        feed(STREAM, size, (bytes, length) -> scanner.scan(bytes, length));
        assertThat(scanner.eventCount()).isEqualTo(2);
        assertThat(scanner.isEnded()).isTrue();
    }

    @Test
    void endMarkerMustBeAWholeLine() {
        EventScanner scanner = new EventScanner();
        feed("data: [DONE]x\n\nx data: [DONE]\n\ndata: [DONE", 7, scanner::scan);
        assertThat(scanner.isEnded()).isFalse();
    }

    @Property(tries = 300, seed = "20261204")
    void usageIsFoundForAnyChunkSize(@ForAll @IntRange(min = 1, max = 30) int size) {
        UsageScanner scanner = new UsageScanner();
        feed(RESPONSE, size, scanner::scan);
        assertThat(scanner.totalTokens()).hasValue(42);
    }

    @Property(tries = 300, seed = "20261204")
    void arbitraryBytesAreScannedWithoutFailure(@ForAll byte[] bytes) {
        UsageScanner scanner = new UsageScanner();
        scanner.scan(bytes, bytes.length);
        EventScanner events = new EventScanner();
        events.scan(bytes, bytes.length);
        assertThat(events.isEnded()).isFalse();
    }

    private static void feed(String text, int size, ByteConsumer consumer) {
        byte[] all = text.getBytes(StandardCharsets.UTF_8);
        for (int from = 0; from < all.length; from += size) {
            byte[] chunk = Arrays.copyOfRange(all, from, Math.min(all.length, from + size));
            consumer.accept(chunk, chunk.length);
        }
    }

    private interface ByteConsumer {
        void accept(byte[] bytes, int length);
    }
}
