package org.toucanlane.edge.call;

/** A request whose headers can't be read. */
public final class InvalidCallException extends Exception {

    private static final long serialVersionUID = 1;

    /** Creates an exception that says what is wrong, without the value of a key. */
    public InvalidCallException(String message) {
        super(message);
    }
}
