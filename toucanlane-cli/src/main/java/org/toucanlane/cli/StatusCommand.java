package org.toucanlane.cli;

import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;

/** Shows the state of hosts and how many of their peers they see alive. */
@Parameters(commandDescription = "show the state of hosts; needs --admin")
final class StatusCommand implements Command {

    @Override
    public ExitCode run(GlobalOptions options, Output out) throws CommandFailedException, IOException {
        List<URI> admins = options.adminAddresses();
        if (admins.isEmpty()) {
            throw new CommandFailedException(ExitCode.USAGE, "status needs --admin");
        }
        List<JsonNode> statuses = new ArrayList<>();
        ExitCode exit = ExitCode.DONE;
        try (HostClient hosts = new HostClient()) {
            for (URI admin : admins) {
                try {
                    statuses.add(hosts.status(admin));
                } catch (IOException e) {
                    out.printDiagnostic(admin + " does not answer: " + e.getMessage());
                    exit = ExitCode.FAILED;
                }
            }
        }
        if (options.isJson()) {
            out.printJson(statuses);
        } else {
            out.printTable(
                    List.of("HOST", "DATA CENTRE", "PHASE", "VERSION", "RUNNING", "PEERS ALIVE"),
                    statuses.stream().map(StatusCommand::row).toList());
        }
        return exit;
    }

    private static List<String> row(JsonNode status) {
        int alive = 0;
        for (JsonNode peer : status.path("peers")) {
            alive += peer.path("state").asText().equals("alive") ? 1 : 0;
        }
        return List.of(
                status.path("host").asText(),
                status.path("dataCentre").asText(),
                status.path("phase").asText(),
                status.path("configurationVersion").asText(),
                status.path("running").asText(),
                alive + "/" + status.path("peers").size());
    }
}
