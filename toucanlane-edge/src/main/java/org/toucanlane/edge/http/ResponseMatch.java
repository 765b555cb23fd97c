package org.toucanlane.edge.http;

/** Whether a response that arrives on a connection belongs to the request that waits for one there. */
public enum ResponseMatch {
    /** It names the request, or comes from a server that answers in order without fail. */
    OWN {
        @Override
        boolean isAccepted(boolean firstExchange) {
            return true;
        }
    },

    /** It names another request. */
    OTHER {
        @Override
        boolean isAccepted(boolean firstExchange) {
            return false;
        }
    },

    /** It names no request. On a connection that carried an earlier request, it may be a late copy of that response. */
    UNKNOWN {
        @Override
        boolean isAccepted(boolean firstExchange) {
            return firstExchange;
        }
    };

    /**
     * Returns whether the response is passed on.
     *
     * @param firstExchange whether the connection has carried no earlier request
     */
    abstract boolean isAccepted(boolean firstExchange);
}
