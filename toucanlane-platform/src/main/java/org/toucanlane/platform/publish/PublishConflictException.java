package org.toucanlane.platform.publish;

/** Thrown when a publication can't be put into force as it is. Nothing of it is in force. */
public final class PublishConflictException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates an exception that says what stands in the way. */
    public PublishConflictException(String message) {
        super(message);
    }
}
