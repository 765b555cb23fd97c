package org.toucanlane.cli;

/** Thrown when a command fails. Carries the exit code of the process. */
final class CommandFailedException extends Exception {

    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    CommandFailedException(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    ExitCode exitCode() {
        return exitCode;
    }
}
