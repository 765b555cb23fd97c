package org.toucanlane.domain.configuration;

/**
 * A fault in an operator's file.
 *
 * @param file the file's name
 * @param line line that the fault starts on, from 1
 * @param message what is wrong
 * @param hint what to do about it; may be empty
 */
public record Problem(String file, int line, String message, String hint) {

    @Override
    public String toString() {
        String place = file + ':' + line + ": " + message;
        return hint.isEmpty() ? place : place + " (" + hint + ')';
    }
}
