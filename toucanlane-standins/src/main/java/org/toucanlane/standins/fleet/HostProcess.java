package org.toucanlane.standins.fleet;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A host that runs as a separate process, which can be stopped, suspended and killed. Not thread-safe. */
public final class HostProcess implements AutoCloseable {

    private static final long STOP_TIMEOUT_SECONDS = 60;
    private static final int LOG_TAIL_LINES = 20;

    private final String name;
    private final String dataCentre;
    private final Ports ports;
    private final Path settings;
    private final Path log;
    private final List<String> javaOptions;
    private Process process;

    HostProcess(String name, String dataCentre, Ports ports, Path settings, Path log, List<String> javaOptions) {
        this.name = name;
        this.dataCentre = dataCentre;
        this.ports = ports;
        this.settings = settings;
        this.log = log;
        this.javaOptions = List.copyOf(javaOptions);
    }

    /** Starts the process, or starts a new one if the previous process has ended. */
    public void start() throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(javaOptions);
        command.add("-cp");
        command.add(System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")));
        command.add("org.toucanlane.gateway.GatewayMain");
        command.add(settings.toString());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("MALLOC_ARENA_MAX", "2");
        process = builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
    }

    /** Returns the host's name. */
    public String name() {
        return name;
    }

    /** Returns the host's data centre. */
    public String dataCentre() {
        return dataCentre;
    }

    /** Returns the base URI for callers. */
    public URI callerUri() {
        return URI.create("http://127.0.0.1:" + ports.caller());
    }

    /** Returns the base URI for operators. */
    public URI adminUri() {
        return URI.create("http://127.0.0.1:" + ports.admin());
    }

    Ports ports() {
        return ports;
    }

    /** Returns the process id. */
    public long pid() {
        return process.pid();
    }

    /** Returns the last lines of the process's log. */
    public String logTail() {
        try {
            List<String> lines = Files.readAllLines(log);
            return String.join("\n", lines.subList(Math.max(0, lines.size() - LOG_TAIL_LINES), lines.size()));
        } catch (IOException e) {
            return "(log unreadable: " + e.getMessage() + ')';
        }
    }

    /** Returns whether the process is running. */
    public boolean isRunning() {
        return process != null && process.isAlive();
    }

    /** Kills the process without a graceful shutdown and waits until it has ended. */
    public void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Shuts the process down gracefully and returns whether it ended within the timeout. */
    public boolean stop() throws InterruptedException {
        process.destroy();
        return process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Suspends the process with {@code SIGSTOP}. */
    public void suspend() throws IOException, InterruptedException {
        sendSignal("STOP");
    }

    /** Resumes a suspended process with {@code SIGCONT}. */
    public void resume() throws IOException, InterruptedException {
        sendSignal("CONT");
    }

    private void sendSignal(String signal) throws IOException, InterruptedException {
        int exitCode = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .start()
                .waitFor();
        if (exitCode != 0) {
            throw new IOException("signal " + signal + " to " + name + " failed");
        }
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /** The ports on which a host listens for callers, operators and peers. */
    record Ports(int caller, int admin, int peer) {}
}
