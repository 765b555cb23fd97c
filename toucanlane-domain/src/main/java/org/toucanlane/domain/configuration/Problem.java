package org.toucanlane.domain.configuration;

/**
 * A validation problem in a configuration file.
 *
 * @param file file name
 * @param line 1-based line number
 * @param message description of the problem
 * @param hint suggested correction; may be empty
 */
public record Problem(String file, int line, String message, String hint) {

    @Override
    public String toString() {
        String description = file + ':' + line + ": " + message;
        return hint.isEmpty() ? description : description + " (" + hint + ')';
    }
}
