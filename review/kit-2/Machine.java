import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/** A machine of the deployment: one process, started with the command of the deploy file. */
final class Machine {
    final String name;
    final String ip;
    private final Path folder;
    private final Path settings;
    final Path log;
    Process process;

    /** Ports are free at all addresses, and the same on all machines. */
    static final int FRONT = freePorts(1);

    static final int READY = freePorts(1);
    static final int DIRECTORY = freePorts(1);
    private static final int PEERS = freePorts(2);

    /** Returns the first of {@code count} free ports in a row. */
    private static int freePorts(int count) {
        for (int attempt = 0; attempt < 200; attempt++) {
            int first = ThreadLocalRandom.current().nextInt(20_000, 30_000);
            if (IntStream.range(first, first + count).allMatch(Machine::isFree)) {
                return first;
            }
        }
        throw new IllegalStateException("no free ports");
    }

    private static boolean isFree(int port) {
        try {
            new ServerSocket(port).close();
            new DatagramSocket(port).close();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Writes the settings file of a machine, with the values of the page DEPLOY. */
    Machine(Path folder, String name, String ip, String zone, List<String> zones, String store) throws IOException {
        this.folder = folder;
        this.name = name;
        this.ip = ip;
        this.log = folder.resolve(name + ".log");
        this.settings = folder.resolve(name + ".conf");
        StringBuilder text = new StringBuilder();
        text.append("node=").append(name).append("\nrole=host\nclass=front\nserves=front,directory\nip=").append(ip);
        text.append("\nzone=").append(zone).append("\nregion=").append(region(zone)).append('\n');
        zones.forEach(each -> text.append("zones.").append(each).append('=').append(region(each)).append('\n'));
        text.append("listen.front=").append(ip).append(':').append(FRONT);
        text.append("\nlisten.ready=").append(ip).append(':').append(READY);
        text.append("\nlisten.directory=").append(ip).append(':').append(DIRECTORY);
        text.append("\nportRange=").append(PEERS).append(',').append(PEERS + 1);
        text.append(
                """

                bootstrap=true
                limits.cpuShare=0.75
                limits.cores=1
                limits.memoryMb=430
                limits.maxFds=4100
                discovery=platform
                entry=directory
                beatMs=1200
                bounds.stableMs=5000
                bounds.drainMs=3000
                bounds.graceS=8
                bounds.lostSlackMs=200
                bounds.configMs=3000
                bounds.downgradeMs=250
                bounds.strictRevoke=true
                bounds.revokeMs=5000
                bounds.budgetRatio=0.2
                bounds.budgetWindowS=10
                bounds.budgetExtra=54
                bounds.quotaWindowS=8
                bounds.quotaOver=0.1
                bounds.quotaSlack=190000
                bounds.coldOver=1.5
                bounds.coldSlack=3
                bounds.evacMs=5000
                bounds.recoverS=12
                bounds.ttl_max_s=5
                platform.form=kv
                platform.writesPerS=400
                platform.readsPerS=2000
                platform.historyS=20
                platform.ttlMinMs=1000
                """);
        text.append("platform.addr=").append(store).append('\n');
        Files.writeString(settings, text);
    }

    static String region(String zone) {
        return zone.replaceAll("-[a-z]$", "");
    }

    /** Starts the process. */
    void start() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run line");
        }
        ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(List.of(run.group(1).split(" "))));
        builder.environment().put("TOUCANLANE_NODE_FILE", settings.toString());
        // The platform reports a machine of 430 MB, from which the run line derives the size of the heap.
        builder.environment().put("JAVA_TOOL_OPTIONS", "-XX:MaxRAM=430m");
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
    }

    /** Returns the memory of the process in MB, or 0 if it has ended. */
    long memoryMb() {
        try {
            Matcher resident = Pattern.compile("VmRSS:\\s+(\\d+)")
                    .matcher(Files.readString(Path.of("/proc/" + process.pid() + "/status")));
            return resident.find() ? Long.parseLong(resident.group(1)) / 1024 : 0;
        } catch (IOException e) {
            return 0;
        }
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Asks the platform's question; returns whether the answer is 200. */
    boolean ready() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, READY), 500);
            socket.setSoTimeout(1000);
            socket.getOutputStream().write(Http.bytes("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
            Http.Message answer = Http.read(socket.getInputStream(), true);
            return answer != null && answer.status() == 200;
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    /** Waits until the machine is ready. */
    boolean awaitReady(long millis) {
        long end = System.nanoTime() + millis * 1_000_000L;
        while (System.nanoTime() < end) {
            if (ready()) {
                return true;
            }
            Store.sleep(50);
        }
        return false;
    }

    void stop() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }
}
