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
 * A whole deployment on loopback: every host a process, the outside world stand-ins of this process, and the
 * fault-injecting proxy between hosts of different data centres and between each data centre and the platform.
 *
 * <p>Closing it ends all that it started. Not thread-safe.
 */
public final class Deployment implements AutoCloseable {

    /** Name of the platform as a place in the proxy's links. */
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

    private Deployment(Path work, EngineOptions engineOptions, List<String> javaOptions, ObjectNode extraSettings) {
        this.workDirectory = work;
        this.extraSettings = extraSettings;
        this.engineOptions = engineOptions;
        this.javaOptions = List.copyOf(javaOptions);
    }

    /**
     * Prepares a deployment and starts the stand-ins, but no host.
     *
     * @param example folder with service folders
     * @param work empty folder for settings, logs and the working copy
     * @param javaOptions options of the hosts' virtual machines
     */
    public static Deployment prepare(Path example, Path work, EngineOptions engineOptions, List<String> javaOptions)
            throws IOException, InterruptedException {
        return prepare(example, work, engineOptions, javaOptions, JSON.createObjectNode());
    }

    /** Prepares a deployment whose hosts have {@code extraSettings} beside the usual ones. */
    public static Deployment prepare(
            Path example, Path work, EngineOptions engineOptions, List<String> javaOptions, ObjectNode extraSettings)
            throws IOException, InterruptedException {
        Deployment deployment = new Deployment(work, engineOptions, javaOptions, extraSettings);
        try {
            deployment.prepareStandIns(example);
            deployment.prepareHosts();
            return deployment;
        } catch (IOException | InterruptedException | RuntimeException e) {
            deployment.close();
            throw e;
        }
    }

    private void prepareStandIns(Path example) throws IOException {
        closer.register(proxy::close);
        platform = PlatformServer.start(0);
        closer.register(platform::close);
        secretFile = Files.writeString(workDirectory.resolve("key-secret"), "demonstration-secret\n");
        serviceFolders = ServiceFolders.copy(example, workDirectory.resolve("services"), this::startEndpoint);
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
        Map<String, Integer> platformPorts = new LinkedHashMap<>();
        for (HostProcess host : hosts.values()) {
            if (!platformPorts.containsKey(host.dataCentre())) {
                InetSocketAddress target = new InetSocketAddress("127.0.0.1", platform.port());
                platformPorts.put(host.dataCentre(), proxy.openListener(host.dataCentre(), PLATFORM, target));
            }
            writeSettings(host, platformPorts.get(host.dataCentre()));
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

    /** Tells the platform's list of hosts which there are, each under the addresses that its viewers reach it by. */
    private void publishHostList() throws IOException, InterruptedException {
        ArrayNode list = JSON.createArrayNode();
        for (HostProcess host : hosts.values()) {
            ObjectNode entry = list.addObject();
            entry.put("name", host.name());
            entry.put("dataCentre", host.dataCentre());
            entry.put("leaving", false);
            entry.put("callerAddress", host.callerUri().toString());
            entry.put("peerAddress", "127.0.0.1:" + host.ports().peer());
            ObjectNode special = entry.putObject("peerAddressFor");
            Map<String, Integer> fromDataCentre = new LinkedHashMap<>();
            for (HostProcess viewer : hosts.values()) {
                if (!viewer.dataCentre().equals(host.dataCentre())) {
                    if (!fromDataCentre.containsKey(viewer.dataCentre())) {
                        InetSocketAddress target =
                                new InetSocketAddress("127.0.0.1", host.ports().peer());
                        int port = proxy.openListener(viewer.dataCentre(), host.dataCentre(), target);
                        fromDataCentre.put(viewer.dataCentre(), port);
                    }
                    special.put(viewer.name(), "127.0.0.1:" + fromDataCentre.get(viewer.dataCentre()));
                }
            }
        }
        HttpRequest request = HttpRequest.newBuilder(platformAddress().resolve("/v1/hosts"))
                .PUT(HttpRequest.BodyPublishers.ofString(list.toString()))
                .build();
        client.send(request, HttpResponse.BodyHandlers.discarding());
    }

    /** Sets the one-way delay between all data centres, and between all but {@code home} and the platform. */
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

    /** Waits until all running hosts take work and see each other. */
    public void awaitReady() throws InterruptedException {
        List<HostProcess> running =
                hosts.values().stream().filter(HostProcess::isRunning).toList();
        for (HostProcess host : running) {
            try {
                await("host " + host.name() + " to be ready", () -> isReadyWithPeers(host, running.size() - 1));
            } catch (IllegalStateException e) {
                throw new IllegalStateException(e.getMessage() + "; its log ends with\n" + host.logTail(), e);
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

    /** Sends a GET without a key. */
    public HttpResponse<String> get(URI address) throws IOException, InterruptedException {
        return client.send(
                HttpRequest.newBuilder(address).timeout(Duration.ofSeconds(5)).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a POST without a key. */
    public HttpResponse<String> post(URI address, String body) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(address)
                .timeout(Duration.ofSeconds(5))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Returns the oldest configuration version that any running host has in force; 0 if one does not answer. */
    public long oldestConfigurationVersion() throws InterruptedException {
        long least = Long.MAX_VALUE;
        for (HostProcess host : hosts.values()) {
            try {
                String status = get(host.adminUri().resolve("/status")).body();
                least = Math.min(
                        least,
                        JSON.readTree(status).path("configurationVersion").asLong());
            } catch (IOException e) {
                return 0;
            }
        }
        return least;
    }

    /** Waits until {@code condition} holds; throws if it does not within a minute. */
    public static void await(String what, Condition condition) throws InterruptedException {
        long end = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
        while (!condition.holds()) {
            if (System.nanoTime() - end > 0) {
                throw new IllegalStateException("waited in vain for " + what);
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    /** Runs the operators' command line against this deployment. */
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

    /** Publishes the working copy of the service folders. */
    public CommandResult publish() throws InterruptedException {
        return runCommand("publish", "--wait", serviceFolders.root().toString());
    }

    /** Issues a key for {@code account}; publishing puts it into force. */
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

    /** Takes a key out of the working copy; publishing withdraws it. */
    public void withdrawKey(String key) throws InterruptedException {
        CommandResult result = runCommand(
                "key", "withdraw", key.split("-")[1], serviceFolders.root().toString());
        if (result.exitCode() != 0) {
            throw new IllegalStateException(result.errors());
        }
    }

    /** Returns the platform's base address, not through the proxy. */
    public URI platformAddress() {
        return URI.create("http://127.0.0.1:" + platform.port());
    }

    /** Returns the platform. */
    public PlatformServer platform() {
        return platform;
    }

    /** Returns the proxy. */
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

    /** Returns the model engines by name. */
    public Map<String, EngineServer> engines() {
        return engines;
    }

    /** Returns the plain services by name. */
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
            throw new IllegalStateException("not everything was closed", e);
        }
    }

    /** Names of the running hosts, for messages. */
    @Override
    public String toString() {
        return hosts.values().stream()
                .filter(HostProcess::isRunning)
                .map(HostProcess::name)
                .collect(Collectors.joining(", "));
    }

    /** Something to wait for. */
    @FunctionalInterface
    public interface Condition {
        boolean holds() throws InterruptedException;
    }

    /** What a command printed and how it ended. */
    public record CommandResult(int exitCode, String output, String errors) {}
}
