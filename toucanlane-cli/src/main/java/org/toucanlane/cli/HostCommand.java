package org.toucanlane.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;

/** Takes hosts out of service. */
@Parameters(commandDescription = "drain: let the hosts of --admin finish their requests and take no more")
final class HostCommand implements Command {

    @Parameter(description = "drain", required = true)
    private List<String> words = new ArrayList<>();

    @Override
    public ExitCode run(GlobalOptions options, Output out) throws CommandFailedException, IOException {
        List<URI> admins = options.adminAddresses();
        if (!words.equals(List.of("drain")) || admins.isEmpty()) {
            throw new CommandFailedException(ExitCode.USAGE, "host takes \"drain\" and needs --admin");
        }
        boolean clean = true;
        try (HostClient hosts = new HostClient()) {
            for (URI admin : admins) {
                out.progress("draining " + admin);
                JsonNode result = hosts.drain(admin);
                int left = result.path("requestsLeft").asInt();
                out.line(admin + " is drained; " + left + " requests were still running");
                clean &= left == 0;
            }
        }
        return clean ? ExitCode.DONE : ExitCode.FAILED;
    }
}
