package org.toucanlane.domain.outcome;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class ErrorKindTest {

    private static final Path API_PAGE = Path.of("..", "docs", "API.md");

    private static String markdownTable() {
        return Arrays.stream(ErrorKind.values())
                .map(kind -> "| `" + kind.code() + "` | " + kind.status() + " | `"
                        + kind.executionStatus().code() + "` | " + (kind.isRetryable() ? "yes" : "no") + " |")
                .collect(Collectors.joining("\n"));
    }

    @Test
    void apiPageListsAllErrorKinds() throws IOException {
        assertThat(Files.readString(API_PAGE))
                .as("put this table into docs/API.md")
                .contains(markdownTable());
    }

    @Test
    void refusalsAreNeverReportedAsPossiblyExecuted() {
        assertThat(ErrorKind.values())
                .filteredOn(kind -> kind.executionStatus() != ExecutionStatus.NOT_RUN)
                .allMatch(kind -> kind != ErrorKind.RATE_LIMITED && kind != ErrorKind.OVERLOADED);
    }
}
