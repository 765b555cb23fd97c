package org.toucanlane.cli;

/** Exit codes of the command line. */
enum ExitCode {
    /** The command succeeded. */
    DONE(0, "done"),
    /** The platform's key-value service or a host did not respond, or a file can't be read or written. */
    FAILED(1, "the platform or a host did not answer, or a file can't be read or written"),
    /** The arguments are invalid. */
    USAGE(2, "wrong arguments"),
    /** Configuration files are invalid. */
    INVALID(3, "files have faults; nothing was changed"),
    /** The publication conflicts with another one. */
    CONFLICT(4, "another publication stands in the way; nothing was changed"),
    /** Not every host confirmed the published version before the timeout. */
    UNCONFIRMED(5, "published, but not every host confirmed before the timeout"),
    /** Files differ from the configuration in force. */
    DIFFERENT(6, "diff and check: the files differ from the configuration in force"),
    /** Entries of the files can never match, or limits contradict each other. */
    FINDINGS(7, "check: entries can never match, or limits contradict each other");

    private final int code;
    private final String meaning;

    ExitCode(int code, String meaning) {
        this.code = code;
        this.meaning = meaning;
    }

    int code() {
        return code;
    }

    String meaning() {
        return meaning;
    }
}
