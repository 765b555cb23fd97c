import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;

/** The store, the machines and the record of one case. Its processes end with this one. */
final class Deployment {
    private final long begin = System.nanoTime();
    private final List<String> lines = new ArrayList<>();
    private final Path record;
    private final Path folder = Files.createTempDirectory("toucanlane-review");
    final List<Machine> machines = new ArrayList<>();
    final Store store;

    /** The first three numbers of the case's addresses, so that two runs don't meet. */
    final String network = "127." + ThreadLocalRandom.current().nextInt(20, 120) + '.'
            + ThreadLocalRandom.current().nextInt(1, 250);

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    // A case that fails ends with 2.
    static {
        Thread.setDefaultUncaughtExceptionHandler((thread, failure) -> {
            failure.printStackTrace();
            if (thread.getName().equals("main")) {
                System.exit(2);
            }
        });
    }

    Deployment(String record) throws IOException {
        this.record = Path.of(record);
        this.store = new Store(network + ".100", 0);
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    /** Starts a machine in each of {@code zones}, as often as it is named. Returns whether all are ready. */
    boolean start(List<String> zones) throws IOException {
        List<String> known = zones.stream().distinct().toList();
        for (int i = 0; i < zones.size(); i++) {
            String ip = network + "." + (i + 1);
            Machine machine =
                    new Machine(folder, "front-" + zones.get(i) + "-" + (i + 1), ip, zones.get(i), known, store.address());
            machine.start();
            machines.add(machine);
        }
        boolean ready = machines.stream().allMatch(machine -> machine.awaitReady(20_000));
        note(ready ? "all machines are ready" : "not all machines are ready");
        for (Machine machine : machines) {
            if (!ready && !machine.ready()) {
                note(machine.name + " isn't ready: process alive " + machine.process.isAlive() + ", its log: "
                        + Files.readString(machine.log));
            }
        }
        return ready;
    }

    double seconds() {
        return (System.nanoTime() - begin) / 1e9;
    }

    synchronized void note(String text) {
        lines.add(String.format("%9.3f  %s", seconds(), text));
    }

    /** Ends the case: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. */
    void finish(int result, String verdict) {
        note(verdict);
        System.out.println(verdict);
        System.exit(result);
    }

    private void end() {
        machines.forEach(machine -> {
            try {
                machine.stop();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        try {
            synchronized (this) {
                Files.write(record, lines);
            }
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        } catch (IOException e) {
            System.err.println(e);
        }
    }

    /** Sends a request on a channel of its own and returns the answer, or null if the channel ends without one. */
    static Http.Message call(String ip, String request, int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, Machine.FRONT), 1000);
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write(Http.bytes(request));
            InputStream in = socket.getInputStream();
            return Http.read(in, true);
        } catch (IOException | RuntimeException e) {
            return null;
        }
    }

    /** Describes an answer. */
    static String text(Http.Message answer) {
        return answer == null ? "no answer" : String.valueOf(answer.status());
    }
}
