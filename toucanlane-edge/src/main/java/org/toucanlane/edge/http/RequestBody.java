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

    /** Minimum size of a block of a body whose length isn't known. */
    private static final int MIN_BLOCK_BYTES = 256;

    /** A body whose length isn't known grows by one of so many parts of its size. */
    private static final int GROWTH_PARTS = 8;

    private final BodyBudget budget;
    private final long announced;
    private long granted;

    /**
     * Creates an empty body.
     *
     * @param announced length that {@code budget} has granted, or 0 if it isn't known
     */
    RequestBody(ByteBufAllocator allocator, BodyBudget budget, long announced) {
        super(allocator, true, Integer.MAX_VALUE);
        this.budget = budget;
        this.announced = announced;
        this.granted = announced;
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
            capacity(announced > 0 ? (int) Math.min(announced, (long) capacity() + BLOCK_BYTES) : nextCapacity());
        }
        writeBytes(bytes);
        return true;
    }

    /** Grows by a part of the size, so that a body of many small chunks has few blocks. */
    private int nextCapacity() {
        return capacity() + Math.max(MIN_BLOCK_BYTES, Math.min(BLOCK_BYTES, capacity() / GROWTH_PARTS));
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
