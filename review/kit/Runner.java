import java.io.Closeable;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A runner that registers itself in the store and answers as its script says. Thread-safe. */
final class Runner implements Closeable {

    /** One request that the runner began to work on. */
    record Run(double at, String id, String line, String tenant, String lastEvent) {}

    /** Answers a request that is meant for this runner; returns whether the connection stays open. */
    interface Script {
        boolean answer(Http.Message request, Http.Connection connection) throws IOException;
    }

    private static final int BEAT_MILLIS = 1_200;

    final String id;
    final List<Run> runs = new CopyOnWriteArrayList<>();
    private final Store store;
    private final String service;
    private final String zone;
    private final int slots;
    private final Http.Server server;
    private final long born = System.currentTimeMillis();
    private volatile String state = "ready";
    private volatile boolean registered = true;
    private long sequence;

    Runner(Store store, String id, int number, String service, String zone, int slots, Script script)
            throws IOException {
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.server = new Http.Server(Kit.network() + number, 0, (request, connection) -> {
            if (!request.header("x-target-instance").equals(id)) {
                connection.respond(421, "X-Instance-Id: " + id + "\r\n", "");
                return true;
            }
            runs.add(new Run(
                    Kit.now(),
                    request.header("x-request-id"),
                    request.line(),
                    request.header("x-tenant"),
                    request.header("last-event-id")));
            Kit.log("run at " + id + ": " + request.header("x-request-id") + " " + request.line());
            return script.answer(request, connection);
        });
        Kit.closing(this);
        beat();
        Kit.background(() -> {
            while (true) {
                Kit.sleep(BEAT_MILLIS);
                if (registered) {
                    beat();
                }
            }
        });
    }

    /** Returns the headers that a sound runner puts into its answer. */
    static String headers(Http.Message request) {
        return "X-Request-Id: " + request.header("x-request-id") + "\r\nX-Response-Seal: seal-"
                + request.header("x-request-id") + "\r\n";
    }

    /** Announces that the runner leaves; it goes on serving. */
    void drain() {
        state = "draining";
        beat();
    }

    private synchronized void beat() {
        store.put(
                "servers/" + id,
                "{\"service\":\"" + service + "\",\"addr\":\"" + server.address() + "\",\"zone\":\"" + zone
                        + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                        + "\",\"coldLeftMs\":0,\"seq\":" + ++sequence + ",\"born\":" + born + "}");
    }

    /** Removes the entry and closes all connections. */
    @Override
    public void close() throws IOException {
        registered = false;
        server.close();
    }
}
