package org.toucanlane.edge.http;

/** Whether a response that arrives on a connection belongs to the request that waits for one there. */
public enum ResponseMatch {
    /** It names the request, or comes from a server that answers in order without fail. */
    OWN {
        @Override
        boolean isAccepted(boolean firstExchange) {
            return true;
        }

        @Override
        ResponseFault fault() {
            throw new IllegalStateException("a response that names the request is no fault");
        }
    },

    /** It names another request. */
    OTHER {
        @Override
        boolean isAccepted(boolean firstExchange) {
            return false;
        }

        @Override
        ResponseFault fault() {
            return ResponseFault.OTHER_REQUEST;
        }
    },

    /** It names no request. On a connection that carried an earlier request, it may be a late copy of that response. */
    UNKNOWN {
        @Override
        boolean isAccepted(boolean firstExchange) {
            return firstExchange;
        }

        @Override
        ResponseFault fault() {
            return ResponseFault.NO_REQUEST_ID;
        }
    };

    /**
     * Returns whether the response is passed on.
     *
     * @param firstExchange whether the connection has carried no earlier request
     */
    abstract boolean isAccepted(boolean firstExchange);

    /** Returns the fault of a response that isn't accepted. */
    abstract ResponseFault fault();
}
