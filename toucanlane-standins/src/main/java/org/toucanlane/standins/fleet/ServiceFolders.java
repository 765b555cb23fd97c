package org.toucanlane.standins.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * A working copy of example service folders whose endpoints have addresses of this machine. Not thread-safe.
 */
public final class ServiceFolders {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String SERVICE_FILE = "toucanlane.json";

    private final Path root;
    private final List<EndpointEntry> endpoints = new ArrayList<>();
    private final List<HostEntry> hosts = new ArrayList<>();

    private ServiceFolders(Path root) {
        this.root = root;
    }

    /** Copies {@code source} to {@code target}, asking {@code ports} for the port of each endpoint. */
    public static ServiceFolders copy(Path source, Path target, EndpointStarter ports) throws IOException {
        ServiceFolders copy = new ServiceFolders(target);
        try (Stream<Path> folders = Files.list(source)) {
            for (Path folder : folders.filter(Files::isDirectory).sorted().toList()) {
                copy.copyFolder(folder, ports);
            }
        }
        return copy;
    }

    private void copyFolder(Path folder, EndpointStarter ports) throws IOException {
        ObjectNode file =
                (ObjectNode) JSON.readTree(folder.resolve(SERVICE_FILE).toFile());
        boolean engine = Stream.of(file.path("routes"))
                .flatMap(routes ->
                        Stream.iterate(0, i -> i < routes.size(), i -> i + 1).map(routes::get))
                .anyMatch(route -> route.has("models"));
        for (JsonNode entry : file.path("endpoints")) {
            EndpointEntry endpoint = new EndpointEntry(
                    entry.path("name").asText(),
                    file.path("name").asText(),
                    entry.path("dataCentre").asText(),
                    entry.path("capacity").asInt(8),
                    engine);
            int port = ports.start(endpoint);
            ((ObjectNode) entry).put("address", "http://127.0.0.1:" + port);
            endpoints.add(endpoint);
        }
        file.path("regions")
                .forEach(region -> region.path("dataCentres")
                        .forEach(dataCentre -> dataCentre
                                .path("hosts")
                                .forEach(host -> hosts.add(new HostEntry(
                                        host.asText(),
                                        dataCentre.path("name").asText(),
                                        region.path("name").asText())))));
        Path out = Files.createDirectories(root.resolve(folder.getFileName()));
        Files.writeString(
                out.resolve(SERVICE_FILE), JSON.writerWithDefaultPrettyPrinter().writeValueAsString(file) + '\n');
    }

    /** Returns the folder with the copies. */
    public Path root() {
        return root;
    }

    /** Returns the hosts, in the order of the files. */
    public List<HostEntry> hosts() {
        return List.copyOf(hosts);
    }

    /** Returns the endpoints, in the order of the files. */
    public List<EndpointEntry> endpoints() {
        return List.copyOf(endpoints);
    }

    /** A host of the fleet. */
    public record HostEntry(String name, String dataCentre, String region) {}

    /** An endpoint; {@code engine} tells a model engine from a plain service. */
    public record EndpointEntry(String name, String service, String dataCentre, int capacity, boolean modelEngine) {}

    /** Starts the stand-in of an endpoint and returns its port. */
    @FunctionalInterface
    public interface EndpointStarter {
        int start(EndpointEntry endpoint) throws IOException;
    }
}
