package org.toucanlane.edge.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.toucanlane.policy.admission.BodyBudget;

class RequestBodyTest {

    private static final int BLOCK_BYTES = 64 << 10;
    private static final int PIECE_BYTES = 8_000;

    private final BodyBudget budget = HttpServer.newBodyBudget();

    private RequestBody body(int announced) {
        assertThat(budget.resize(0, announced)).isTrue();
        return new RequestBody(PooledByteBufAllocator.DEFAULT, budget, announced);
    }

    /** The whole memory of a body was taken when it was announced: see docs/incidents/0016. */
    @Test
    void takesMemoryForWhatHasArrivedOnly() {
        RequestBody body = body(4 << 20);
        assertThat(body.capacity()).isZero();
        assertThat(body.append(Unpooled.wrappedBuffer(new byte[1]))).isTrue();
        assertThat(body.capacity()).isEqualTo(BLOCK_BYTES);
        body.release();
        assertThat(budget.total()).isZero();
    }

    /** Each chunk of a byte took a block of its own, until the heap was full. */
    @Test
    void takesFewBlocksForManySmallChunks() {
        RequestBody body = body(0);
        for (int i = 0; i < 100_000; i++) {
            assertThat(body.append(Unpooled.wrappedBuffer(new byte[1]))).isTrue();
        }
        assertThat(body.numComponents()).isLessThan(100);
        assertThat(body.capacity()).isLessThan(100_000 * 9 / 8 + 1);
        body.release();
    }

    @Test
    void takesNoMoreMemoryThanAnnouncedForAShortBody() {
        RequestBody body = body(500);
        assertThat(body.append(Unpooled.wrappedBuffer(new byte[200]))).isTrue();
        assertThat(body.capacity()).isEqualTo(500);
        body.release();
    }

    /** Heap memory would be copied into direct memory as a whole when the request is sent on. */
    @Test
    void holdsItsPiecesInOrderInDirectMemory() {
        RequestBody body = body(0);
        ByteBuf expected = Unpooled.buffer();
        for (int i = 0; i < 100; i++) {
            int value = i;
            byte[] piece = new byte[PIECE_BYTES];
            IntStream.range(0, PIECE_BYTES).forEach(at -> piece[at] = (byte) (at * 31 + value));
            expected.writeBytes(piece);
            assertThat(body.append(Unpooled.wrappedBuffer(piece))).isTrue();
        }
        assertThat((Object) body).isEqualTo(expected);
        assertThat(body.isDirect()).isTrue();
        assertThat(budget.total()).isEqualTo(100 * PIECE_BYTES);
        ByteBuf copy = body.retainedDuplicate();
        body.release();
        assertThat(budget.total()).as("while a copy is being sent").isEqualTo(100 * PIECE_BYTES);
        copy.release();
        assertThat(budget.total()).isZero();
    }
}
