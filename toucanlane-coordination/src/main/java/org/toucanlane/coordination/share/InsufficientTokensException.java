package org.toucanlane.coordination.share;

import java.time.Duration;

/** Thrown when an account has too few tokens left. Nothing was taken. */
public final class InsufficientTokensException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient Duration retryAfter;
    private final boolean holderUnreachable;

    /**
     * Creates an exception.
     *
     * @param retryAfter when enough tokens will have accrued
     * @param holderUnreachable whether a host that holds a part of the limit could not be asked
     */
    public InsufficientTokensException(String message, Duration retryAfter, boolean holderUnreachable) {
        super(message);
        this.retryAfter = retryAfter;
        this.holderUnreachable = holderUnreachable;
    }

    /** Returns after what time the missing tokens have accrued, if nobody else takes them. */
    public Duration retryAfter() {
        return retryAfter;
    }

    /** Returns whether a host that holds a part of the limit could not be asked, so that the account may have more. */
    public boolean isHolderUnreachable() {
        return holderUnreachable;
    }
}
