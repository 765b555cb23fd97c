package org.toucanlane.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import org.toucanlane.policy.admission.BodyBudget;

/**
 * The body of a request. Its memory grows in blocks with what has arrived.
 *
 * <p>Invariant: the size granted by the budget is at least the size of the body, and is given back when the buffer is
 * deallocated. Used on one event loop only.
 */
final class RequestBody extends CompositeByteBuf {

    /** Maximum size of a block. */
    private static final int BLOCK_BYTES = 64 << 10;

    private final BodyBudget budget;
    private long granted;

    /** Creates an empty body, for which {@code budget} has granted {@code granted} bytes. */
    RequestBody(ByteBufAllocator allocator, BodyBudget budget, long granted) {
        super(allocator, true, Integer.MAX_VALUE);
        this.budget = budget;
        this.granted = granted;
    }

    /** Appends {@code bytes}, or returns false if the budget doesn't grant them. */
    boolean append(ByteBuf bytes) {
        long size = (long) readableBytes() + bytes.readableBytes();
        if (size > granted) {
            if (!budget.resize(granted, size)) {
                return false;
            }
            granted = size;
        }
        while (writableBytes() < bytes.readableBytes()) {
            capacity((int) Math.min(granted, (long) capacity() + BLOCK_BYTES));
        }
        writeBytes(bytes);
        return true;
    }

    /** Returns the size that the budget has granted. */
    long granted() {
        return granted;
    }

    @Override
    protected void deallocate() {
        super.deallocate();
        budget.resize(granted, 0);
        granted = 0;
    }
}
