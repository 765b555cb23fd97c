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

/** A working copy of service folders in which every endpoint has a loopback address. Not thread-safe. */
public final class ServiceFolders {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String SERVICE_FILE = "toucanlane.json";

    private final Path root;
    private final List<EndpointEntry> endpoints = new ArrayList<>();
    private final List<HostEntry> hosts = new ArrayList<>();

    private ServiceFolders(Path root) {
        this.root = root;
    }

    /** Copies the service folders of {@code source} to {@code target} and starts each endpoint with {@code starter}. */
    public static ServiceFolders copy(Path source, Path target, EndpointStarter starter) throws IOException {
        ServiceFolders result = new ServiceFolders(target);
        try (Stream<Path> folders = Files.list(source)) {
            for (Path folder : folders.filter(Files::isDirectory).sorted().toList()) {
                result.copyFolder(folder, starter);
            }
        }
        return result;
    }

    private void copyFolder(Path folder, EndpointStarter starter) throws IOException {
        ObjectNode serviceFile =
                (ObjectNode) JSON.readTree(folder.resolve(SERVICE_FILE).toFile());
        boolean modelEngine = Stream.of(serviceFile.path("routes"))
                .flatMap(routes ->
                        Stream.iterate(0, i -> i < routes.size(), i -> i + 1).map(routes::get))
                .anyMatch(route -> route.has("models"));
        for (JsonNode entry : serviceFile.path("endpoints")) {
            EndpointEntry endpoint = new EndpointEntry(
                    entry.path("name").asText(),
                    serviceFile.path("name").asText(),
                    entry.path("dataCentre").asText(),
                    entry.path("capacity").asInt(8),
                    modelEngine);
            int port = starter.start(endpoint);
            ((ObjectNode) entry).put("address", "http://127.0.0.1:" + port);
            endpoints.add(endpoint);
        }
        serviceFile
                .path("regions")
                .forEach(region -> region.path("dataCentres")
                        .forEach(dataCentre -> dataCentre
                                .path("hosts")
                                .forEach(host -> hosts.add(new HostEntry(
                                        host.asText(),
                                        dataCentre.path("name").asText(),
                                        region.path("name").asText())))));
        Path out = Files.createDirectories(root.resolve(folder.getFileName()));
        Files.writeString(
                out.resolve(SERVICE_FILE),
                JSON.writerWithDefaultPrettyPrinter().writeValueAsString(serviceFile) + '\n');
    }

    /** Returns the directory that contains the copied service folders. */
    public Path root() {
        return root;
    }

    /** Returns the hosts in the order in which the service files list them. */
    public List<HostEntry> hosts() {
        return List.copyOf(hosts);
    }

    /** Returns the endpoints in the order in which the service files list them. */
    public List<EndpointEntry> endpoints() {
        return List.copyOf(endpoints);
    }

    /** A host listed in a service file. */
    public record HostEntry(String name, String dataCentre, String region) {}

    /** An endpoint listed in a service file: a model engine or a plain service. */
    public record EndpointEntry(String name, String service, String dataCentre, int capacity, boolean modelEngine) {}

    /** Starts the stand-in for an endpoint and returns its port. */
    @FunctionalInterface
    public interface EndpointStarter {
        int start(EndpointEntry endpoint) throws IOException;
    }
}
