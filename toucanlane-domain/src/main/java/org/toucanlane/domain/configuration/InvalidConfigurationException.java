package org.toucanlane.domain.configuration;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when configuration files are invalid; carries all problems found. */
public final class InvalidConfigurationException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient List<Problem> problems;

    /** Creates an exception from at least one problem. */
    public InvalidConfigurationException(List<Problem> problems) {
        super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** Returns all problems, in the order of the files. */
    public List<Problem> problems() {
        return problems;
    }
}
