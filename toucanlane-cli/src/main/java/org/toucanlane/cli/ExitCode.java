package org.toucanlane.cli;

/** How the command line ends. */
enum ExitCode {
    /** Done. */
    DONE(0, "done"),
    /** The platform's service or a host did not answer, or a file can't be read or written. */
    FAILED(1, "the platform or a host did not answer, or a file can't be read or written"),
    /** Wrong arguments. */
    USAGE(2, "wrong arguments"),
    /** Operators' files have faults. */
    INVALID(3, "files have faults; nothing was changed"),
    /** Another publication stands in the way. */
    CONFLICT(4, "another publication stands in the way; nothing was changed"),
    /** Not every host has confirmed in time. */
    UNCONFIRMED(5, "published, but not every host has confirmed in time"),
    /** Files differ from what is in force. */
    DIFFERENT(6, "diff: the files differ from what is in force");

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
