package org.toucanlane.domain.outcome;

import java.util.Locale;

/** Whether the action that a request asked for was executed. */
public enum ExecutionStatus {
    /** The action was not executed: no byte of the request was sent to an endpoint. */
    NOT_RUN,
    /** The action was executed. */
    RAN,
    /** The action may have been executed. */
    UNKNOWN;

    /** Returns the lower-case form used in responses. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
