package org.toucanlane.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LogsCommandTest {

    @TempDir
    private Path folder;

    private final CliRunner cli = new CliRunner();

    private ExitCode trace(String request) throws Exception {
        Path near = Files.write(
                folder.resolve("one.log"),
                List.of(
                        "{\"at\":1000,\"event\":\"host_started\",\"host\":\"near\"}",
                        "{\"at\":2000,\"event\":\"endpoint_removed\",\"endpoint\":\"other\",\"reason\":\"replaced\"}",
                        "12.5 near {\"at\":5000,\"event\":\"attempt_failed\",\"request\":\"r1\",\"upstream\":\"far\"}",
                        "{\"at\":5010,\"event\":\"request_endpoint_failed\",\"request\":\"r1\",\"upstream\":\"far\","
                                + "\"status\":502}",
                        "not a line of the host",
                        "{\"at\":5011,\"event\":\"request_ser"));
        Path far = Files.write(
                folder.resolve("two.log"),
                List.of(
                        "{\"at\":1000,\"event\":\"host_started\",\"host\":\"far\"}",
                        "{\"at\":4000,\"event\":\"endpoint_removed\",\"endpoint\":\"e1\",\"reason\":\"replaced\"}",
                        "{\"at\":4500,\"event\":\"store_lost\",\"proof_age_ms\":90}",
                        "{\"at\":4990,\"event\":\"request_endpoint_failed\",\"request\":\"r1\",\"upstream\":\"e1\","
                                + "\"from\":\"near\",\"cause\":\"SENT reset\"}",
                        "{\"at\":4995,\"event\":\"request_served\",\"request\":\"r2\",\"upstream\":\"e1\"}"));
        return cli.run("logs", "trace", request, near.toString(), far.toString());
    }

    @Test
    void tracesOneRequestAcrossSeveralHosts() throws Exception {
        assertThat(trace("r1")).isEqualTo(ExitCode.DONE);
        List<String> lines = cli.output().lines().skip(1).toList();
        assertThat(lines).hasSize(7);
        assertThat(lines).filteredOn(line -> line.contains("host_started")).hasSize(2);
        assertThat(lines.subList(2, 7))
                .extracting(line -> line.split(" +")[2])
                .containsExactly(
                        "endpoint_removed",
                        "store_lost",
                        "request_endpoint_failed",
                        "attempt_failed",
                        "request_endpoint_failed");
        assertThat(lines.get(4))
                .contains("far", "upstream=e1", "cause=SENT reset")
                .doesNotContain("request=");
    }

    @Test
    void failsForAnUnknownRequest() throws Exception {
        assertThat(trace("r3")).isEqualTo(ExitCode.FAILED);
        assertThat(cli.errors()).contains("r3", "dropped_before");
    }
}
