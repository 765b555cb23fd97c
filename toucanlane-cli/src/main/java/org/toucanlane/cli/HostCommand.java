package org.toucanlane.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.toucanlane.domain.configuration.InvalidConfigurationException;

/** Drains hosts, or removes a host permanently from the configuration. */
@Parameters(
        commandDescription = "drain (the hosts of --admin) | retire NAME FOLDER... (a host that has stopped for good)")
final class HostCommand implements Command {

    private static final int MIN_RETIRE_ARGUMENTS = 3;

    @Parameter(description = "drain | retire NAME FOLDER...", required = true)
    private List<String> arguments = new ArrayList<>();

    @Override
    public ExitCode run(GlobalOptions options, Output out)
            throws CommandFailedException, IOException, InvalidConfigurationException {
        if (arguments.equals(List.of("drain"))) {
            return drain(options, out);
        }
        if (arguments.get(0).equals("retire") && arguments.size() >= MIN_RETIRE_ARGUMENTS) {
            return retire(out, arguments.get(1), arguments.subList(2, arguments.size()));
        }
        throw new CommandFailedException(ExitCode.USAGE, "host takes \"drain\" or \"retire NAME FOLDER...\"");
    }

    private static ExitCode drain(GlobalOptions options, Output out) throws CommandFailedException, IOException {
        List<URI> admins = options.adminAddresses();
        if (admins.isEmpty()) {
            throw new CommandFailedException(ExitCode.USAGE, "drain needs --admin");
        }
        boolean allFinished = true;
        try (HostClient hosts = new HostClient()) {
            for (URI admin : admins) {
                out.printDiagnostic("draining " + admin);
                JsonNode result = hosts.drain(admin);
                int unfinished = result.path("requestsLeft").asInt();
                out.printLine(admin + " is drained; " + unfinished + " requests were still running");
                allFinished &= unfinished == 0;
            }
        }
        return allFinished ? ExitCode.DONE : ExitCode.FAILED;
    }

    /** Removes a host from the configuration file. Publishing the file reassigns its shares without waiting for it. */
    private static ExitCode retire(Output out, String host, List<String> folders)
            throws CommandFailedException, IOException, InvalidConfigurationException {
        for (Path file : ServiceFiles.find(folders)) {
            ObjectNode tree = ServiceFiles.readTree(file);
            if (removeHost(tree, host)) {
                ServiceFiles.replace(file, tree);
                out.printLine(
                        host + " is out of " + file + "; publish it once the host has certainly stopped for good");
                return ExitCode.DONE;
            }
        }
        throw new CommandFailedException(ExitCode.USAGE, "no file contains the host \"" + host + '"');
    }

    private static boolean removeHost(ObjectNode tree, String host) {
        boolean removed = false;
        for (JsonNode region : tree.path("regions")) {
            for (JsonNode dataCentre : region.path("dataCentres")) {
                ArrayNode hosts = (ArrayNode) dataCentre.path("hosts");
                int index = IntStream.range(0, hosts.size())
                        .filter(i -> hosts.get(i).asText().equals(host))
                        .findFirst()
                        .orElse(-1);
                if (index >= 0) {
                    hosts.remove(index);
                    removed = true;
                }
            }
        }
        return removed;
    }
}
