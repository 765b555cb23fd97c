package org.toucanlane.coordination.share;

import java.time.Duration;

/** Thrown when an account has too few tokens left. Nothing was taken. */
public final class ShortOfTokensException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient Duration retryAfter;

    /** Creates an exception that says when enough tokens will have accrued. */
    public ShortOfTokensException(String message, Duration retryAfter) {
        super(message);
        this.retryAfter = retryAfter;
    }

    /** Returns after what time the missing tokens have accrued, if nobody else takes them. */
    public Duration retryAfter() {
        return retryAfter;
    }
}
