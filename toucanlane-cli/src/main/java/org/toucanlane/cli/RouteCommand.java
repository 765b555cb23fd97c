package org.toucanlane.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Shows in which data centre a host would run a request, and the values behind that choice. */
@Parameters(commandDescription = "explain --account A --route R: where a host would run a request; needs --admin")
final class RouteCommand implements Command {

    @Parameter(description = "explain", required = true)
    private List<String> arguments = new ArrayList<>();

    @Parameter(names = "--account", required = true, description = "account of the request")
    private String account;

    @Parameter(names = "--route", required = true, description = "route of the request")
    private String route;

    @Override
    public ExitCode run(GlobalOptions options, Output out) throws CommandFailedException, IOException {
        List<URI> admins = options.adminAddresses();
        if (!arguments.equals(List.of("explain")) || admins.isEmpty()) {
            throw new CommandFailedException(ExitCode.USAGE, "route takes \"explain\" and needs --admin");
        }
        try (HostClient hosts = new HostClient()) {
            String query = "account=" + encode(account) + "&route=" + encode(route);
            JsonNode standings = hosts.explain(admins.get(0), query);
            if (options.isJson()) {
                out.printJson(standings);
                return ExitCode.DONE;
            }
            List<List<String>> rows = new ArrayList<>();
            standings.forEach(standing -> rows.add(row(standing)));
            out.printTable(
                    List.of("DATA CENTRE", "CHOSEN", "ALLOWED", "REACHABLE", "ENDPOINTS", "LOAD", "WAIT MS", "AWAY MS"),
                    rows);
            return ExitCode.DONE;
        }
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private static List<String> row(JsonNode standing) {
        JsonNode view = standing.path("view");
        return List.of(
                view.path("name").asText(),
                standing.path("chosen").asBoolean() ? "yes" : "",
                view.path("allowed").asText(),
                view.path("reachable").asText(),
                view.path("endpoints").asText(),
                String.format("%.2f", view.path("load").asDouble()),
                formatNumber(standing.path("waitingMillis")),
                formatNumber(standing.path("awayMillis")));
    }

    private static String formatNumber(JsonNode value) {
        return value.isNumber() ? String.format("%.1f", value.asDouble()) : "-";
    }
}
