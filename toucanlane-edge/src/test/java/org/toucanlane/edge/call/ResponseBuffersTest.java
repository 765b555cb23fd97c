package org.toucanlane.edge.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class ResponseBuffersTest {

    private final List<String> givenUp = new ArrayList<>();
    private final ResponseBuffers buffers = new ResponseBuffers(1_000);
    private final List<ResponseBuffers.Buffer> endless =
            IntStream.range(0, 8).mapToObj(i -> buffer("endless " + i)).toList();

    /** Simulates endless responses on many connections beside one that is short. */
    @Test
    void givesUpTheLargestBuffersAndKeepsAShortResponse() {
        buffers.update(buffer("short"), 20);
        for (int round = 1; round <= 10; round++) {
            for (int i = 0; i < 8; i++) {
                if (!givenUp.contains("endless " + i)) {
                    buffers.update(endless.get(i), round * 100);
                    assertThat(buffers.totalBytes()).isLessThanOrEqualTo(1_000);
                }
            }
        }
        assertThat(givenUp).hasSizeGreaterThanOrEqualTo(7).doesNotContain("short");
    }

    @Test
    void forgetsABufferThatIsRemoved() {
        ResponseBuffers.Buffer first = buffer("first");
        buffers.update(first, 900);
        buffers.remove(first);
        buffers.remove(first);
        assertThat(buffers.totalBytes()).isZero();
        buffers.update(buffer("second"), 900);
        assertThat(givenUp).isEmpty();
    }

    private ResponseBuffers.Buffer buffer(String name) {
        return reason -> givenUp.add(name);
    }
}
