package org.toucanlane.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ReportCommandTest {

    @TempDir
    private Path journal;

    private final CliRunner cli = new CliRunner();

    @BeforeEach
    void write() throws IOException {
        entry("b.json", "2026-02-02", "0.70", "{}");
        entry("a.json", "2026-01-01", "0.60", "{\"BUDGET\": 1}");
        Files.writeString(journal.resolve("c.json"), "{\"at\": [");
    }

    private void entry(String file, String at, String worth, String rules) throws IOException {
        Files.writeString(journal.resolve(file), """
                {"at": ["%s"], "site": "s", "why": "a try", "days": [{"name": "quiet", "G": %s, "top": 0.9,
                 "rules": %s, "prices": [["bytes", 3, 0.01], ["hosts", 4, 0.05]]}, {"name": "not played"}]}
                """.formatted(at, worth, rules));
    }

    private ExitCode run(String... arguments) throws InterruptedException {
        return cli.run(arguments);
    }

    @Test
    void listsRoundsInChronologicalOrder() throws Exception {
        assertThat(run("report", journal.toString())).isEqualTo(ExitCode.DONE);
        String[] lines = cli.output().split("\n");
        assertThat(lines).hasSize(3);
        assertThat(lines[1]).contains("2026-01-01", "0.600", "0.900", "BUDGET", "0.050 hosts", "a try");
        assertThat(lines[2]).contains("2026-02-02", "0.700").doesNotContain("BUDGET");
        assertThat(cli.errors()).contains("c.json", "left out");
    }

    @Test
    void plotsWorthOverRounds() throws Exception {
        Path plot = journal.resolve("plot.png");
        assertThat(run("report", journal.toString(), "--plot", plot.toString())).isEqualTo(ExitCode.DONE);
        assertThat(Files.readAllBytes(plot)).startsWith(0x89, 'P', 'N', 'G');
    }

    @Test
    void failsWithoutMeasuredRounds() throws Exception {
        assertThat(run("report", journal.toString(), "--site", "other")).isEqualTo(ExitCode.FAILED);
        assertThat(run("report", journal.resolve("none").toString())).isEqualTo(ExitCode.USAGE);
    }
}
