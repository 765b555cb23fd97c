package org.toucanlane.coordination.share;

import com.google.common.base.Preconditions;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Tokens taken for one request, from one holder or several.
 *
 * <p>Settled at most once: the first call decides, later ones have no effect. Thread-safe.
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

    /** Returns a charge of nothing, for requests that have no account to charge. */
    public static Charge empty() {
        return new Charge(0, List.of());
    }

    /** Returns how many tokens were taken. */
    public long tokens() {
        return tokens;
    }

    /**
     * Gives back what exceeds {@code usedTokens}.
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
            long back = Math.min(unused, part.tokens());
            part.refund().accept(back);
            unused -= back;
        }
    }

    /** Tokens from one holder, and how to give some of them back. */
    record Part(long tokens, TokenConsumer refund) {}

    /** Receives an amount of tokens. */
    @FunctionalInterface
    interface TokenConsumer {
        void accept(long tokens);
    }
}
