package org.toucanlane.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class MainTest {

    private static final String FILE = """
            {
              "name": "all",
              "regions": [{"name": "r", "dataCentres": [{"name": "d", "hosts": ["h"]}]}],
              "accounts": [{"name": "one", "tokensPerSecond": 10, "burstTokens": 100}]
            }
            """;

    @TempDir
    private Path folder;

    private final CliRunner cli = new CliRunner();

    @BeforeEach
    void write() throws IOException {
        Files.writeString(folder.resolve("toucanlane.json"), FILE);
        Files.writeString(folder.resolve("secret"), "secret");
    }

    private ExitCode run(String... arguments) throws InterruptedException {
        return cli.run(arguments);
    }

    private String output() {
        return cli.output();
    }

    private String errors() {
        return cli.errors();
    }

    @Test
    void helpListsCommandsAndExitCodes() throws Exception {
        assertThat(run("--help")).isEqualTo(ExitCode.DONE);
        assertThat(output()).contains("publish", "validate", "Exit codes", "another publication stands in the way");
    }

    @Test
    void acceptsAValidFolder() throws Exception {
        assertThat(run("validate", folder.toString())).isEqualTo(ExitCode.DONE);
        assertThat(output()).contains("1 accounts");
    }

    @Test
    void checkNamesEntriesWithoutEffect() throws Exception {
        assertThat(run("check", folder.toString())).isEqualTo(ExitCode.DONE);
        Files.writeString(folder.resolve("toucanlane.json"), FILE.replace("100", "5"));
        assertThat(run("check", folder.toString())).isEqualTo(ExitCode.FINDINGS);
        assertThat(output()).contains("toucanlane.json:4", "accrues 10 tokens a second", "1 findings, not compared");
        Files.writeString(folder.resolve("toucanlane.json"), FILE.replace("accounts", "acounts"));
        assertThat(run("check", folder.toString())).isEqualTo(ExitCode.INVALID);
        assertThat(run("--store", "http://127.0.0.1:1", "check", folder.toString()))
                .isNotEqualTo(ExitCode.DONE);
    }

    @Test
    void reportsFileAndLineOfAnInvalidFile() throws Exception {
        Files.writeString(folder.resolve("toucanlane.json"), FILE.replace("accounts", "acounts"));
        assertThat(run("validate", folder.toString())).isEqualTo(ExitCode.INVALID);
        assertThat(errors()).contains("toucanlane.json:4", "did you mean \"accounts\"?");
    }

    @Test
    void issuedKeyIsPrintedOnceAndStoredAsAHash() throws Exception {
        String secret = folder.resolve("secret").toString();
        assertThat(run("key", "--account", "one", "--secret-file", secret, "issue", folder.toString()))
                .isEqualTo(ExitCode.DONE);
        String key = output().strip();
        String written = Files.readString(folder.resolve("toucanlane.json"));
        assertThat(key).startsWith("tl-");
        assertThat(written).contains(key.split("-")[1]).doesNotContain(key.split("-")[2]);
        assertThat(run("key", "withdraw", key.split("-")[1], folder.toString())).isEqualTo(ExitCode.DONE);
        assertThat(Files.readString(folder.resolve("toucanlane.json"))).doesNotContain(key.split("-")[1]);
    }

    @Test
    void retireRemovesTheHostFromTheFleet() throws Exception {
        Files.writeString(folder.resolve("toucanlane.json"), FILE.replace("[\"h\"]", "[\"h\", \"gone\"]"));
        assertThat(run("host", "retire", "gone", folder.toString())).isEqualTo(ExitCode.DONE);
        assertThat(Files.readString(folder.resolve("toucanlane.json")))
                .contains("\"h\"")
                .doesNotContain("gone");
        assertThat(run("host", "retire", "gone", folder.toString())).isEqualTo(ExitCode.USAGE);
    }

    @Test
    void wrongArgumentsAreUsageErrors() throws Exception {
        assertThat(run()).isEqualTo(ExitCode.USAGE);
        assertThat(run("nonsense")).isEqualTo(ExitCode.USAGE);
        assertThat(run("validate", folder.resolve("absent").toString())).isEqualTo(ExitCode.USAGE);
        assertThat(run("key", "issue", folder.toString())).isEqualTo(ExitCode.USAGE);
        assertThat(run("publish", folder.toString())).isEqualTo(ExitCode.USAGE);
    }

    @Test
    void unreachableStoreIsAFailure() throws Exception {
        assertThat(run("--store", "http://127.0.0.1:1", "publish", folder.toString()))
                .isEqualTo(ExitCode.FAILED);
        assertThat(errors()).contains("no connection to the store");
    }
}
