package org.toucanlane.domain.outcome;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class ErrorKindTest {

    private static final Path PAGE = Path.of("..", "docs", "API.md");

    private static String table() {
        return Arrays.stream(ErrorKind.values())
                .map(kind -> "| `" + kind.word() + "` | " + kind.status() + " | `"
                        + kind.ran().word() + "` | " + (kind.isRetryable() ? "yes" : "no") + " |")
                .collect(Collectors.joining("\n"));
    }

    @Test
    void thePageForCallersHasTheTableOfAllKinds() throws IOException {
        assertThat(Files.readString(PAGE)).as("put this table into docs/API.md").contains(table());
    }

    @Test
    void everyKindThatMayHaveRunIsNeverCalledRefused() {
        assertThat(ErrorKind.values())
                .filteredOn(kind -> kind.ran() != Ran.NOT_RUN)
                .allMatch(kind -> kind != ErrorKind.RATE_LIMITED && kind != ErrorKind.OVERLOADED);
    }
}
