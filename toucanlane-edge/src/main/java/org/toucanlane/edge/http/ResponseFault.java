package org.toucanlane.edge.http;

/** A reason why bytes that a server sent are not taken for the response to the pending request. */
public enum ResponseFault {
    /** They arrived while no request was pending. */
    UNREQUESTED_BYTES("unrequested_bytes"),

    /** A status line stands within the head of a response, which therefore consists of parts of several responses. */
    MERGED_HEAD("merged_head"),

    /** A status line stands within the body of a response, which may therefore be incomplete. */
    SWALLOWED_RESPONSE("swallowed_response"),

    /** The response names another request. */
    OTHER_REQUEST("other_request"),

    /** The response names no request, on a connection that has carried an earlier one. */
    NO_REQUEST_ID("no_request_id"),

    /** They are no valid response. */
    MALFORMED("malformed");

    private final String code;

    ResponseFault(String code) {
        this.code = code;
    }

    /** Returns the name of this fault in logs and metrics. */
    public String code() {
        return code;
    }
}
