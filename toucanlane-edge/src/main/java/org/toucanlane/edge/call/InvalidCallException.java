package org.toucanlane.edge.call;

/** Thrown if the headers of a request can't be parsed. */
public final class InvalidCallException extends Exception {

    private static final long serialVersionUID = 1;

    /** Creates an exception. The message describes the problem and must not contain the value of a key. */
    public InvalidCallException(String message) {
        super(message);
    }
}
