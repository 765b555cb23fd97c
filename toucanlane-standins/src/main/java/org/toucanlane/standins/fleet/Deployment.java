package org.toucanlane.standins.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.io.Closer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.toucanlane.cli.Main;
import org.toucanlane.standins.engine.EngineOptions;
import org.toucanlane.standins.engine.EngineServer;
import org.toucanlane.standins.plain.PlainServer;
import org.toucanlane.standins.platform.PlatformServer;
import org.toucanlane.standins.proxy.FaultProxy;

/**
 * A complete deployment on the loopback interface.
 *
 * <p>Each host runs as a process of its own. The stand-ins for external systems run in this process. A fault-injecting
 * proxy carries the connections between hosts of different data centres and between each data centre and the platform.
 *
 * <p>Closing a deployment stops every process and server it started. Not thread-safe.
 */
public final class Deployment implements AutoCloseable {

    /** Name of the platform as an end of a link of the proxy. */
    public static final String PLATFORM = "platform";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(60);
    private static final long POLL_MILLIS = 50;

    private final Path workDirectory;
    private final List<String> javaOptions;
    private final EngineOptions engineOptions;
    private final ObjectNode extraSettings;
    private final Closer closer = Closer.create();
    private final FreePortFinder portFinder = new FreePortFinder();
    private final FaultProxy proxy = new FaultProxy();
    private final Map<String, EngineServer> engines = new LinkedHashMap<>();
    private final Map<String, PlainServer> plainServices = new LinkedHashMap<>();
    private final Map<String, HostProcess> hosts = new LinkedHashMap<>();
    private final HttpClient client = HttpClient.newHttpClient();
    private PlatformServer platform;
    private ServiceFolders serviceFolders;
    private Path secretFile;

    private Deployment(
            Path workDirectory, EngineOptions engineOptions, List<String> javaOptions, ObjectNode extraSettings) {
        this.workDirectory = workDirectory;
        this.extraSettings = extraSettings;
        this.engineOptions = engineOptions;
        this.javaOptions = List.copyOf(javaOptions);
    }

    /**
     * Prepares a deployment and starts its stand-ins, but none of its hosts.
     *
     * @param exampleDirectory directory that contains the service folders
     * @param workDirectory empty directory for settings, logs and the working copy of the service folders
     * @param engineOptions options of each model engine
     * @param javaOptions JVM options of each host
     */
    public static Deployment prepare(
            Path exampleDirectory, Path workDirectory, EngineOptions engineOptions, List<String> javaOptions)
            throws IOException, InterruptedException {
        return prepare(exampleDirectory, workDirectory, engineOptions, javaOptions, JSON.createObjectNode());
    }

    /** Prepares a deployment whose settings files also contain {@code extraSettings}, which override the defaults. */
    public static Deployment prepare(
            Path exampleDirectory,
            Path workDirectory,
            EngineOptions engineOptions,
            List<String> javaOptions,
            ObjectNode extraSettings)
            throws IOException, InterruptedException {
        Deployment deployment = new Deployment(workDirectory, engineOptions, javaOptions, extraSettings);
        try {
            deployment.prepareStandIns(exampleDirectory);
            deployment.prepareHosts();
            return deployment;
        } catch (IOException | InterruptedException | RuntimeException e) {
            deployment.close();
            throw e;
        }
    }

    private void prepareStandIns(Path exampleDirectory) throws IOException {
        closer.register(proxy::close);
        platform = PlatformServer.start(0);
        closer.register(platform::close);
        secretFile = Files.writeString(workDirectory.resolve("key-secret"), "demonstration-secret\n");
        serviceFolders = ServiceFolders.copy(exampleDirectory, workDirectory.resolve("services"), this::startEndpoint);
    }

    private int startEndpoint(ServiceFolders.EndpointEntry endpoint) throws IOException {
        if (!endpoint.modelEngine()) {
            PlainServer plain = PlainServer.start(0);
            plainServices.put(endpoint.name(), plain);
            closer.register(plain::close);
            return plain.port();
        }
        EngineServer engine = EngineServer.start(0, engineOptions);
        engines.put(endpoint.name(), engine);
        closer.register(engine::close);
        return engine.port();
    }

    private void prepareHosts() throws IOException, InterruptedException {
        for (ServiceFolders.HostEntry entry : serviceFolders.hosts()) {
            HostProcess.Ports hostPorts =
                    new HostProcess.Ports(portFinder.next(), portFinder.next(), portFinder.next());
            Path settings = workDirectory.resolve(entry.name() + ".json");
            Path log = workDirectory.resolve(entry.name() + ".log");
            HostProcess host = new HostProcess(entry.name(), entry.dataCentre(), hostPorts, settings, log, javaOptions);
            hosts.put(entry.name(), host);
            closer.register(host::close);
        }
        Map<String, Integer> platformPortByDataCentre = new LinkedHashMap<>();
        for (HostProcess host : hosts.values()) {
            if (!platformPortByDataCentre.containsKey(host.dataCentre())) {
                InetSocketAddress target = new InetSocketAddress("127.0.0.1", platform.port());
                platformPortByDataCentre.put(
                        host.dataCentre(), proxy.openListener(host.dataCentre(), PLATFORM, target));
            }
            writeSettings(host, platformPortByDataCentre.get(host.dataCentre()));
        }
        publishHostList();
    }

    private void writeSettings(HostProcess host, int platformPort) throws IOException {
        ObjectNode settings = JSON.createObjectNode();
        settings.put("host", host.name());
        settings.put("dataCentre", host.dataCentre());
        settings.put("peerListen", "127.0.0.1:" + host.ports().peer());
        settings.put("store", "http://127.0.0.1:" + platformPort);
        settings.put("hostList", "http://127.0.0.1:" + platformPort + "/for/" + host.name());
        settings.put("keyHashSecretFile", secretFile.toString());
        settings.put("announceLeaving", "2s");
        ObjectNode seeds = settings.putObject("seeds");
        hostsIn(host.dataCentre())
                .forEach(peer ->
                        seeds.put(peer.name(), "127.0.0.1:" + peer.ports().peer()));
        ObjectNode server = settings.putObject("server");
        server.put("maxThreads", 1024);
        server.put("shutdownGracePeriod", "2s");
        server.putArray("applicationConnectors")
                .addObject()
                .put("type", "http")
                .put("bindHost", "127.0.0.1")
                .put("port", host.ports().caller());
        server.putArray("adminConnectors")
                .addObject()
                .put("type", "http")
                .put("bindHost", "127.0.0.1")
                .put("port", host.ports().admin());
        server.putObject("requestLog").putArray("appenders");
        ObjectNode logging = settings.putObject("logging");
        logging.put("level", "INFO");
        ObjectNode appender = logging.putArray("appenders").addObject();
        appender.put("type", "console");
        appender.putObject("layout").put("type", "json");
        settings.setAll(extraSettings);
        Files.writeString(
                workDirectory.resolve(host.name() + ".json"),
                JSON.writerWithDefaultPrettyPrinter().writeValueAsString(settings));
    }

    /** Publishes the host list to the platform, with the address at which each host can reach each other host. */
    private void publishHostList() throws IOException, InterruptedException {
        ArrayNode list = JSON.createArrayNode();
        for (HostProcess host : hosts.values()) {
            ObjectNode entry = list.addObject();
            entry.put("name", host.name());
            entry.put("dataCentre", host.dataCentre());
            entry.put("leaving", false);
            entry.put("callerAddress", host.callerUri().toString());
            entry.put("peerAddress", "127.0.0.1:" + host.ports().peer());
            ObjectNode peerAddressByViewer = entry.putObject("peerAddressFor");
            Map<String, Integer> portByViewerDataCentre = new LinkedHashMap<>();
            for (HostProcess viewer : hosts.values()) {
                if (!viewer.dataCentre().equals(host.dataCentre())) {
                    if (!portByViewerDataCentre.containsKey(viewer.dataCentre())) {
                        InetSocketAddress target =
                                new InetSocketAddress("127.0.0.1", host.ports().peer());
                        int port = proxy.openListener(viewer.dataCentre(), host.dataCentre(), target);
                        portByViewerDataCentre.put(viewer.dataCentre(), port);
                    }
                    peerAddressByViewer.put(
                            viewer.name(), "127.0.0.1:" + portByViewerDataCentre.get(viewer.dataCentre()));
                }
            }
        }
        HttpRequest request = HttpRequest.newBuilder(platformAddress().resolve("/v1/hosts"))
                .PUT(HttpRequest.BodyPublishers.ofString(list.toString()))
                .build();
        client.send(request, HttpResponse.BodyHandlers.discarding());
    }

    /**
     * Sets the one-way delay between data centres, and between the platform and each data centre but {@code home}.
     */
    public void setDelayBetweenDataCentres(long millis, String home) {
        List<String> centres = dataCentres();
        for (String from : centres) {
            centres.stream().filter(to -> to.compareTo(from) > 0).forEach(to -> proxy.setDelay(from, to, millis));
            proxy.setDelay(from, PLATFORM, from.equals(home) ? 0 : millis);
        }
    }

    /** Returns the names of the data centres. */
    public List<String> dataCentres() {
        return hosts.values().stream().map(HostProcess::dataCentre).distinct().toList();
    }

    /** Starts all hosts. */
    public void startHosts() throws IOException {
        for (HostProcess host : hosts.values()) {
            host.start();
        }
    }

    /** Waits until every running host is ready and sees all other running hosts as alive. */
    public void awaitReady() throws InterruptedException {
        List<HostProcess> running =
                hosts.values().stream().filter(HostProcess::isRunning).toList();
        for (HostProcess host : running) {
            try {
                await("host " + host.name() + " to be ready", () -> isReadyWithPeers(host, running.size() - 1));
            } catch (IllegalStateException e) {
                throw new IllegalStateException(e.getMessage() + "; last lines of its log:\n" + host.logTail(), e);
            }
        }
    }

    private boolean isReadyWithPeers(HostProcess host, int count) {
        try {
            if (get(host.callerUri().resolve("/health/ready")).statusCode() != 200) {
                return false;
            }
            String status = get(host.adminUri().resolve("/status")).body();
            long alive = JSON.readTree(status).findValues("state").stream()
                    .filter(state -> state.asText().equals("alive"))
                    .count();
            return alive >= count;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Sends a GET request without an API key. */
    public HttpResponse<String> get(URI address) throws IOException, InterruptedException {
        return client.send(
                HttpRequest.newBuilder(address).timeout(Duration.ofSeconds(5)).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a POST request without an API key. */
    public HttpResponse<String> post(URI address, String body) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(address)
                .timeout(Duration.ofSeconds(5))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Returns the lowest configuration version in force at any host, or 0 if a host does not respond. */
    public long oldestConfigurationVersion() throws InterruptedException {
        long lowest = Long.MAX_VALUE;
        for (HostProcess host : hosts.values()) {
            try {
                String status = get(host.adminUri().resolve("/status")).body();
                lowest = Math.min(
                        lowest,
                        JSON.readTree(status).path("configurationVersion").asLong());
            } catch (IOException e) {
                return 0;
            }
        }
        return lowest;
    }

    /**
     * Waits until {@code condition} holds.
     *
     * @throws IllegalStateException if it does not hold within a minute
     */
    public static void await(String what, Condition condition) throws InterruptedException {
        long end = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
        while (!condition.holds()) {
            if (System.nanoTime() - end > 0) {
                throw new IllegalStateException("timed out waiting for " + what);
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    /** Runs the operator command line against this deployment. */
    public CommandResult runCommand(String... arguments) throws InterruptedException {
        List<String> all = new ArrayList<>(List.of("--store", platformAddress().toString()));
        hosts.values().stream()
                .filter(HostProcess::isRunning)
                .forEach(host -> all.addAll(List.of("--admin", host.adminUri().toString())));
        all.addAll(List.of(arguments));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int exit = Main.run(
                all.toArray(String[]::new),
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
        return new CommandResult(exit, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    /** Publishes the working copy of the service folders and waits until the hosts apply it. */
    public CommandResult publish() throws InterruptedException {
        return runCommand("publish", "--wait", serviceFolders.root().toString());
    }

    /** Issues an API key for {@code account}, which takes effect when the working copy is published. */
    public String issueKey(String account) throws InterruptedException {
        CommandResult result = runCommand(
                "key",
                "--account",
                account,
                "--secret-file",
                secretFile.toString(),
                "issue",
                serviceFolders.root().toString());
        if (result.exitCode() != 0) {
            throw new IllegalStateException(result.errors());
        }
        return result.output().strip();
    }

    /** Removes an API key from the working copy; hosts reject it once the working copy is published. */
    public void withdrawKey(String key) throws InterruptedException {
        CommandResult result = runCommand(
                "key", "withdraw", key.split("-")[1], serviceFolders.root().toString());
        if (result.exitCode() != 0) {
            throw new IllegalStateException(result.errors());
        }
    }

    /** Returns the base URI of the platform, bypassing the proxy. */
    public URI platformAddress() {
        return URI.create("http://127.0.0.1:" + platform.port());
    }

    /** Returns the platform stand-in. */
    public PlatformServer platform() {
        return platform;
    }

    /** Returns the fault-injecting proxy. */
    public FaultProxy proxy() {
        return proxy;
    }

    /** Returns the hosts by name. */
    public Map<String, HostProcess> hosts() {
        return hosts;
    }

    /** Returns the hosts of one data centre. */
    public List<HostProcess> hostsIn(String dataCentre) {
        return hosts.values().stream()
                .filter(host -> host.dataCentre().equals(dataCentre))
                .toList();
    }

    /** Returns the model engine stand-ins by endpoint name. */
    public Map<String, EngineServer> engines() {
        return engines;
    }

    /** Returns the plain service stand-ins by endpoint name. */
    public Map<String, PlainServer> plainServices() {
        return plainServices;
    }

    /** Returns the working copy of the service folders. */
    public ServiceFolders serviceFolders() {
        return serviceFolders;
    }

    @Override
    public void close() {
        try {
            closer.close();
        } catch (IOException e) {
            throw new IllegalStateException("failed to close the deployment", e);
        }
    }

    /** Returns the names of the running hosts, separated by commas. */
    @Override
    public String toString() {
        return hosts.values().stream()
                .filter(HostProcess::isRunning)
                .map(HostProcess::name)
                .collect(Collectors.joining(", "));
    }

    /** A condition to wait for. */
    @FunctionalInterface
    public interface Condition {
        boolean holds() throws InterruptedException;
    }

    /** The exit code, standard output and standard error of a command. */
    public record CommandResult(int exitCode, String output, String errors) {}
}
