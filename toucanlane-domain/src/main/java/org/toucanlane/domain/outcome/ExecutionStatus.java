package org.toucanlane.domain.outcome;

import java.util.Locale;

/** Whether the action that a request asked for was run. */
public enum ExecutionStatus {
    /** Certainly not: no byte of the request was sent to an endpoint. */
    NOT_RUN,
    /** Certainly. */
    RAN,
    /** It may have been. */
    UNKNOWN;

    /** Returns the word used in answers. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
