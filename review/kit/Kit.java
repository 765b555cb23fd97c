import java.io.Closeable;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** The frame of a case: the record, the processes of the system and the exit status. */
final class Kit {

    /** The status 1 would also be that of a Java program that does not start; run-case.sh translates. */
    static final int BROKEN = 11;
    static final int HELD = 0;
    static final int COULD_NOT_RUN = 2;

    private static final long START = System.nanoTime();
    private static final List<Closeable> OPEN = new ArrayList<>();
    private static PrintWriter record;

    private Kit() {}

    /** The body of a case; returns whether the rule was broken. */
    interface Body {
        boolean run(boolean trouble) throws Exception;
    }

    interface Task {
        void run() throws Exception;
    }

    /** Runs a case and exits with its status. All processes that it started have ended by then. */
    static void run(Body body) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(System.getProperty("record"))), true);
        Thread limit = new Thread(() -> {
            sleep(115_000);
            note("the time limit of the script is over");
            finish(COULD_NOT_RUN);
        });
        limit.setDaemon(true);
        limit.start();
        Runtime.getRuntime().addShutdownHook(new Thread(Kit::closeAll));
        int status = COULD_NOT_RUN;
        try {
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            note("disruption: " + (trouble ? "yes" : "no"));
            status = body.run(trouble) ? BROKEN : HELD;
        } catch (Exception e) {
            note("could not run: " + e);
            e.printStackTrace();
        }
        finish(status);
    }

    private static synchronized void finish(int status) {
        closeAll();
        note(status == BROKEN ? "RESULT: broken" : status == HELD ? "RESULT: held" : "RESULT: could not run");
        Runtime.getRuntime().halt(status);
    }

    private static void closeAll() {
        for (int i = OPEN.size() - 1; i >= 0; i--) {
            try {
                OPEN.get(i).close();
            } catch (IOException e) {
                note("not closed: " + e);
            }
        }
    }

    static <T extends Closeable> T closing(T resource) {
        synchronized (OPEN) {
            OPEN.add(resource);
        }
        return resource;
    }

    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    /** Writes a line with its time to the record and to standard output. */
    static synchronized void note(String text) {
        String line = String.format("%8.3f  %s", now(), text);
        record.println(line);
        System.out.println(line);
    }

    /** Writes a line with its time to the record only. */
    static synchronized void log(String text) {
        record.println(String.format("%8.3f  %s", now(), text));
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread background(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception ended) {
                // The connection or the listener of this thread has been closed.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Returns the prefix of loopback addresses that this run uses, so that runs don't meet. */
    static String network() {
        return NETWORK;
    }

    private static final String NETWORK =
            "127." + (10 + new Random().nextInt(200)) + '.' + (1 + new Random().nextInt(250)) + '.';

    static int freePort(String address) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
            return socket.getLocalPort();
        }
    }

    /** One machine of the system: its settings file, and its process with the command of the deploy file. */
    static final class Host implements Closeable {

        final String name;
        final String ip;
        final int front;
        final int ready;
        final int directory;
        private final Path settings;
        private final Path log;
        private Process process;

        /** Descriptors that the process may have; 0 for as many as this one. */
        int maxFds;

        Host(String name, int number, String zone, List<String> zones, String storeAddress, String... further)
                throws IOException {
            this.name = name;
            this.ip = network() + number;
            this.front = freePort(ip);
            this.ready = freePort(ip);
            this.directory = freePort(ip);
            int range = freePort(ip);
            Path folder = Path.of(System.getProperty("work"));
            Files.createDirectories(folder);
            settings = folder.resolve(name + ".conf");
            log = folder.resolve(name + ".log");
            Files.deleteIfExists(log);
            List<String> lines = new ArrayList<>(List.of(
                    "node=" + name,
                    "role=host",
                    "class=front",
                    "serves=front,directory",
                    "ip=" + ip,
                    "zone=" + zone,
                    "region=" + region(zone),
                    "listen.front=" + ip + ':' + front,
                    "listen.ready=" + ip + ':' + ready,
                    "listen.directory=" + ip + ':' + directory,
                    "portRange=" + range + ',' + (range + 15),
                    "bootstrap=true",
                    "limits.cpuShare=0.75",
                    "limits.cores=1",
                    "limits.memoryMb=430",
                    "limits.maxFds=4100",
                    "limits.linkMbps=1000.0",
                    "discovery=platform",
                    "entry=directory",
                    "beatMs=1200",
                    "bounds.stableMs=5000",
                    "bounds.drainMs=3000",
                    "bounds.graceS=8",
                    "bounds.lostSlackMs=200",
                    "bounds.configMs=3000",
                    "bounds.strictRevoke=true",
                    "bounds.revokeMs=5000",
                    "bounds.budgetRatio=0.2",
                    "bounds.budgetWindowS=10",
                    "bounds.budgetExtra=54",
                    "bounds.ttl_max_s=5",
                    "platform.addr=" + storeAddress,
                    "platform.form=kv",
                    "platform.historyS=20",
                    "platform.valueBytes=1048576",
                    "platform.ttlMinMs=1000"));
            zones.forEach(known -> lines.add("zones." + known + '=' + region(known)));
            lines.addAll(Arrays.asList(further));
            Files.write(settings, lines);
            closing(this);
        }

        static String region(String zone) {
            return zone.substring(0, zone.lastIndexOf('-'));
        }

        void start() throws IOException {
            Path root = Path.of(System.getProperty("root"));
            String run = Files.readAllLines(root.resolve("deploy/system.toml")).stream()
                    .filter(line -> line.startsWith("run = "))
                    .findFirst()
                    .orElseThrow();
            List<String> command = new ArrayList<>();
            if (maxFds > 0) {
                command.addAll(List.of("bash", "-c", "ulimit -n " + maxFds + " && exec \"$@\"", "limited"));
            }
            command.addAll(List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ")));
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.directory(root.toFile());
            builder.environment().put("TOUCANLANE_NODE_FILE", settings.toString());
            process = builder.redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start();
            log("started " + name + " at " + ip + ':' + front + ", pid " + process.pid());
        }

        boolean isAlive() {
            return process.isAlive();
        }

        void signal(String signal) throws IOException, InterruptedException {
            log("signal " + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        /** Returns the status of the readiness check, or -1 if there is no answer within a second. */
        int readiness() {
            try (Http.Client client = new Http.Client(ip, ready, 1000)) {
                return client.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", new byte[0])
                        .status();
            } catch (IOException | RuntimeException e) {
                return -1;
            }
        }

        void awaitReady() throws IOException {
            for (int i = 0; i < 300 && readiness() != 200; i++) {
                sleep(100);
            }
            if (readiness() != 200) {
                throw new IOException(name + " isn't ready");
            }
            note(name + " is ready");
        }

        @Override
        public void close() throws IOException {
            if (process != null) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }
}
