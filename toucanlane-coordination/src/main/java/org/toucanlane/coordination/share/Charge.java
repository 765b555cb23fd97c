package org.toucanlane.coordination.share;

import com.google.common.base.Preconditions;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The tokens taken for one request, from one or more holders.
 *
 * <p>A charge is settled at most once; later calls to {@link #settle} have no effect. Thread-safe.
 */
public final class Charge {

    private final long tokens;
    private final List<Part> parts;
    private final AtomicBoolean settled = new AtomicBoolean();

    private Charge(long tokens, List<Part> parts) {
        this.tokens = tokens;
        this.parts = parts;
    }

    static Charge of(List<Part> parts) {
        return new Charge(parts.stream().mapToLong(Part::tokens).sum(), List.copyOf(parts));
    }

    /** Returns a charge of zero tokens, for requests without an account. */
    public static Charge empty() {
        return new Charge(0, List.of());
    }

    /** Returns the number of tokens taken. */
    public long tokens() {
        return tokens;
    }

    /**
     * Refunds the tokens in excess of {@code usedTokens}.
     *
     * @throws IllegalArgumentException if {@code usedTokens} is negative
     */
    public void settle(long usedTokens) {
        Preconditions.checkArgument(usedTokens >= 0, "usedTokens must not be negative: %s", usedTokens);
        if (!settled.compareAndSet(false, true)) {
            return;
        }
        long unused = Math.max(0, tokens - usedTokens);
        for (Part part : parts) {
            long refunded = Math.min(unused, part.tokens());
            part.refund().accept(refunded);
            unused -= refunded;
        }
    }

    /** Tokens from one holder, with a callback that refunds some of them. */
    record Part(long tokens, TokenConsumer refund) {}

    /** Accepts a number of tokens. */
    @FunctionalInterface
    interface TokenConsumer {
        void accept(long tokens);
    }
}
