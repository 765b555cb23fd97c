import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A machine is told to stop while streams run at a sound runner that pauses them for a moment. */
final class SilentRunner {

    private static final int STREAMS = 12;
    private static final int EVENTS = 40;
    private static final int EVENT_MILLIS = 100;
    private static final int PAUSE_AFTER = 15;
    private static final int PAUSE_MILLIS = 1_500;

    /** Runners and the events that they have made of each stream. */
    private static final Map<String, Integer> MADE = new ConcurrentHashMap<>();

    private static volatile boolean trouble;
    private static volatile boolean full;

    private SilentRunner() {}

    public static void main(String[] arguments) throws IOException {
        Kit.run(SilentRunner::run);
    }

    private static final String CONFIG = "{\"version\":1,\"routes\":["
            + "{\"name\":\"chat\",\"host\":\"a.example\",\"prefix\":\"/chat/\",\"kind\":\"stream\",\"timeoutMs\":10000,"
            + "\"goalMs\":800,\"service\":\"model\",\"maxAttempts\":2,\"public\":false,\"resumable\":true,"
            + "\"gapAimMs\":300}],\"services\":["
            + "{\"name\":\"model\",\"healthPath\":\"/healthz\",\"maxConns\":360,\"coldS\":0.0,\"coldPerS\":0.0}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerMs\":3000,\"idleMs\":15000},"
            + "\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"key-1\"],\"ratePerS\":0}]}";

    /** Runs a stream; the memory of the pausing runner is short, so it preempts its streams once and reads them in again. */
    private static boolean stream(String runner, boolean pausing, Http.Message request, Http.Connection connection)
            throws IOException {
        String id = request.header("x-request-id");
        if (!pausing && full) {
            Kit.log(runner + " is full, rejects " + id);
            connection.respond(503, "X-Not-Executed: 1\r\nX-Request-Id: " + id + "\r\n", "");
            return true;
        }
        String last = request.header("last-event-id");
        int from = last.isEmpty() ? 0 : Integer.parseInt(last);
        try {
            connection.write("HTTP/1.1 200 OK\r\n" + Runner.headers(request)
                    + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int n = from + 1; n <= EVENTS; n++) {
                String event = "id: " + n + "\ndata: " + id + ' ' + n + "\n\n";
                connection.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
                MADE.put(id, n);
                Kit.sleep(trouble && pausing && n == PAUSE_AFTER ? PAUSE_MILLIS : EVENT_MILLIS);
            }
            connection.write("0\r\n\r\n");
            Kit.log(runner + " has completed " + id);
            return true;
        } catch (IOException e) {
            Kit.log(runner + " finds the channel of " + id + " closed after event " + MADE.get(id));
            throw e;
        }
    }

    private static String send(Kit.Host host, String id) {
        try (Http.Client client = new Http.Client(host.ip, host.front, 4_000)) {
            Http.Message answer = client.send(
                    "POST /chat/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id
                            + "\r\nX-Deadline-Ms: 10000\r\nAuthorization: Token key-1\r\nContent-Length: 0\r\n\r\n",
                    new byte[0]);
            return answer == null
                    ? "closed without an answer"
                    : answer.status() + (answer.complete() ? ", complete" : ", broken off");
        } catch (IOException e) {
            return "closed: " + e.getMessage();
        }
    }

    private static boolean run(boolean withTrouble) throws Exception {
        trouble = withTrouble;
        Store store = new Store();
        store.put("op/config", CONFIG);
        new Runner(store, "model-0", 100, "model", "north-a", 64, (q, c) -> stream("model-0", true, q, c));
        new Runner(store, "model-1", 101, "model", "north-a", 64, (q, c) -> stream("model-1", false, q, c));
        List<Kit.Host> hosts = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            hosts.add(new Kit.Host("front-" + i, 1 + i, "north-a", List.of("north-a"), store.address()));
            hosts.get(i).start();
        }
        for (Kit.Host host : hosts) {
            host.awaitReady();
        }
        // No disruption for longer than stableMs.
        Kit.sleep(6_000);
        Queue<String> lost = new ConcurrentLinkedQueue<>();
        Queue<String> complete = new ConcurrentLinkedQueue<>();
        List<Thread> threads = new ArrayList<>();
        double start = Kit.now();
        for (int i = 0; i < STREAMS; i++) {
            String id = "stream-" + i;
            threads.add(Kit.background(() -> {
                String seen = send(hosts.get(0), id);
                Kit.log(String.format("%s: %s after %.3f s", id, seen, Kit.now() - start));
                (seen.equals("200, complete") ? complete : lost).add(id);
            }));
            Kit.sleep(10);
        }
        Kit.sleep(600);
        full = true;
        if (trouble) {
            hosts.get(0).signal("TERM");
            Kit.note("SIGTERM to front-0, " + STREAMS + " streams are running; model-0 is about to pause its streams for "
                    + PAUSE_MILLIS + " ms, model-1 is full");
        }
        for (Thread thread : threads) {
            thread.join(12_000);
        }
        Kit.note(String.format(
                "%d streams complete, %d ended without a complete answer %s, all within %.1f s of their sending",
                complete.size(), lost.size(), lost, Kit.now() - start));
        return !lost.isEmpty();
    }
}
