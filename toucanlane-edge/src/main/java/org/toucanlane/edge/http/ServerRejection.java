package org.toucanlane.edge.http;

/**
 * The answer to what could not be read as a request.
 *
 * @param status HTTP status
 * @param body JSON text, or empty
 */
public record ServerRejection(int status, String body) {

    /** Why a request could not be read. */
    public enum Reason {
        /** It isn't HTTP. */
        MALFORMED(400),
        /** Its head is too long. */
        HEAD_TOO_LONG(431),
        /** Its body is too long. */
        BODY_TOO_LONG(413),
        /** It took too long to arrive. */
        TOO_SLOW(408);

        private final int status;

        Reason(int status) {
            this.status = status;
        }

        /** Returns the HTTP status. */
        public int status() {
            return status;
        }
    }
}
