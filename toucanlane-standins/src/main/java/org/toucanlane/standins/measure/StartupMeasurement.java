package org.toucanlane.standins.measure;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Measures the CPU time of a host as deployed on the platform, from exec until it listens, and its resident memory one
 * second later, over several starts with the command from {@code deploy/system.toml}. Requires the output of
 * {@code bin/build-host}, and Linux for {@code /proc}.
 */
final class StartupMeasurement implements Measurement {

    private static final int START_COUNT = 5;
    private static final long START_TIMEOUT_MILLIS = 20_000;
    private static final long IDLE_MILLIS = 1_000;
    private static final int POLL_INTERVAL_MILLIS = 5;
    private static final int PORT_COUNT = 4;

    /** Indexes of the user and system CPU time among the fields of {@code /proc/PID/stat} after the command name. */
    private static final int USER_TICKS_FIELD = 11;

    private static final int SYSTEM_TICKS_FIELD = 12;
    private static final double TICKS_PER_SECOND = 100;
    private static final double KILOBYTES_PER_MEGABYTE = 1_024;

    @Override
    public void run(Path work, long seed, ObjectNode result) throws IOException, InterruptedException {
        List<String> command = hostCommand();
        List<Double> cpuSamples = new ArrayList<>();
        List<Double> memorySamples = new ArrayList<>();
        for (int start = 0; start < START_COUNT; start++) {
            List<Integer> ports = freePorts();
            Path settings = Files.writeString(work.resolve("settings" + start), settings(ports));
            ProcessBuilder builder = new ProcessBuilder(command)
                    .redirectOutput(work.resolve("log" + start).toFile())
                    .redirectErrorStream(true);
            builder.environment().put("TOUCANLANE_NODE_FILE", settings.toString());
            Process process = builder.start();
            try {
                awaitListening(process, ports.get(2));
                cpuSamples.add(cpuSeconds(process.pid()));
                TimeUnit.MILLISECONDS.sleep(IDLE_MILLIS);
                memorySamples.add(residentMegabytes(process.pid()));
            } finally {
                process.destroyForcibly().waitFor();
            }
        }
        result.put("starts", START_COUNT).put("start_cpu_s", median(cpuSamples)).put("rest_mb", median(memorySamples));
        result.put("start_cpu_s_most", Collections.max(cpuSamples)).put("rest_mb_most", Collections.max(memorySamples));
    }

    private static List<String> hostCommand() throws IOException {
        if (!Files.exists(Path.of("target/host/toucanlane-host.jar"))) {
            throw new IOException("target/host/toucanlane-host.jar does not exist: run bin/build-host first");
        }
        String line = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(text -> text.startsWith("run = "))
                .findFirst()
                .orElseThrow(() -> new IOException("deploy/system.toml has no line that starts with 'run = '"));
        return Arrays.asList(
                line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
    }

    private static List<Integer> freePorts() throws IOException {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < PORT_COUNT; i++) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                ports.add(socket.getLocalPort());
            }
        }
        return ports;
    }

    private static String settings(List<Integer> ports) {
        return String.join(
                "\n",
                "node=measured",
                "zone=z",
                "region=r",
                "zones.z=r",
                "ip=127.0.0.1",
                "listen.front=127.0.0.1:" + ports.get(0),
                "listen.ready=127.0.0.1:" + ports.get(1),
                "listen.directory=127.0.0.1:" + ports.get(2),
                "portRange=" + ports.get(3) + ',' + (ports.get(3) + 1),
                "platform.addr=127.0.0.1:1");
    }

    private static void awaitListening(Process process, int port) throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MILLIS);
        while (!isListening(port)) {
            if (!process.isAlive() || System.nanoTime() > deadlineNanos) {
                throw new IOException("the host did not start listening on port " + port);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private static boolean isListening(int port) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            return true;
        } catch (IOException expected) {
            return false;
        }
    }

    private static double cpuSeconds(long pid) throws IOException {
        String line = Files.readString(Path.of("/proc/" + pid + "/stat"));
        String[] fields = line.substring(line.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[SYSTEM_TICKS_FIELD]))
                / TICKS_PER_SECOND;
    }

    private static double residentMegabytes(long pid) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
                .filter(line -> line.startsWith("VmRSS:"))
                .mapToDouble(line -> Double.parseDouble(line.replaceAll("[^0-9]", "")) / KILOBYTES_PER_MEGABYTE)
                .findFirst()
                .orElseThrow(() -> new IOException("process " + pid + " has exited"));
    }

    private static double median(List<Double> values) {
        List<Double> sorted = values.stream().sorted().toList();
        return sorted.get(sorted.size() / 2);
    }
}
