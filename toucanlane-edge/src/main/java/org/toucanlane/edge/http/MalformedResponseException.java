package org.toucanlane.edge.http;

import java.io.IOException;

/** Thrown if a server sends bytes that are not a valid response to the pending request. */
public final class MalformedResponseException extends IOException {

    private static final long serialVersionUID = 1;

    MalformedResponseException(String message) {
        super(message);
    }
}
