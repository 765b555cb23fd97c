package org.toucanlane.platform.publish;

/** Thrown when a publication conflicts with the published configuration. No part of it has taken effect. */
public final class PublishConflictException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message describes the conflict. */
    public PublishConflictException(String message) {
        super(message);
    }
}
