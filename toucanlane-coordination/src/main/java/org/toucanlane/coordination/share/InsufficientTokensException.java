package org.toucanlane.coordination.share;

import java.time.Duration;

/** Thrown when an account has too few tokens. Tokens that were already collected are refunded. */
public final class InsufficientTokensException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient Duration retryAfter;
    private final boolean holderUnreachable;

    /**
     * Creates an exception.
     *
     * @param retryAfter time after which enough tokens will have accrued
     * @param holderUnreachable whether a holder of the account could not be reached
     */
    public InsufficientTokensException(String message, Duration retryAfter, boolean holderUnreachable) {
        super(message);
        this.retryAfter = retryAfter;
        this.holderUnreachable = holderUnreachable;
    }

    /** Returns the time after which the missing tokens will have accrued if no other request takes them. */
    public Duration retryAfter() {
        return retryAfter;
    }

    /** Returns whether a holder of the account could not be reached, so that the account may have more tokens. */
    public boolean isHolderUnreachable() {
        return holderUnreachable;
    }
}
