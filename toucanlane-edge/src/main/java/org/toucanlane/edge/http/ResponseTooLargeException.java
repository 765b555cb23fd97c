package org.toucanlane.edge.http;

import java.io.IOException;

/** Thrown when a response exceeds the size that its receiver accepts. */
public final class ResponseTooLargeException extends IOException {

    private static final long serialVersionUID = 1;

    ResponseTooLargeException(int maxBytes) {
        super("response exceeds the limit of " + maxBytes + " bytes");
    }
}
