import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** An entry from another writer is in the store while the operator changes the configuration. */
final class ForeignEntry {

    private static final int HOSTS = 3;
    private static final double CONFIG_SECONDS = 3.0;

    private ForeignEntry() {}

    public static void main(String[] arguments) throws IOException {
        Kit.run(ForeignEntry::run);
    }

    private static String configuration(int version, String service, boolean added) {
        String more = added
                ? ",{\"name\":\"added\",\"host\":\"a.example\",\"prefix\":\"/added/\",\"kind\":\"safe\",\"timeoutMs\":2000,"
                        + "\"goalMs\":400,\"service\":\"new\",\"maxAttempts\":2,\"public\":false}"
                : "";
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"open\",\"host\":\"a.example\",\"prefix\":\"/open/\","
                + "\"kind\":\"safe\",\"timeoutMs\":2000,\"goalMs\":400,\"service\":\"" + service
                + "\",\"maxAttempts\":2,\"public\":true},{\"name\":\"keyed\",\"host\":\"a.example\",\"prefix\":\"/keyed/\","
                + "\"kind\":\"safe\",\"timeoutMs\":2000,\"goalMs\":400,\"service\":\"" + service
                + "\",\"maxAttempts\":2,\"public\":false}" + more + "],\"services\":["
                + "{\"name\":\"old\",\"healthPath\":\"/healthz\",\"maxConns\":100,\"coldS\":0.0,\"coldPerS\":0.0},"
                + "{\"name\":\"new\",\"healthPath\":\"/healthz\",\"maxConns\":100,\"coldS\":0.0,\"coldPerS\":0.0}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerMs\":3000,\"idleMs\":15000},"
                + "\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"key-1\"],\"ratePerS\":0}]}";
    }

    private static String send(Kit.Host host, String id, String path) {
        try (Http.Client client = new Http.Client(host.ip, host.front, 3000)) {
            Http.Message answer = client.send(
                    "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id
                            + "\r\nX-Deadline-Ms: 2000\r\nAuthorization: Token key-1\r\n\r\n",
                    new byte[0]);
            String text = answer == null ? "closed" : answer.status() + " " + answer.text();
            Kit.log("request " + id + " " + path + " to " + host.name + ": " + text);
            return text;
        } catch (IOException e) {
            Kit.log("request " + id + " " + path + " to " + host.name + ": " + e);
            return "failed";
        }
    }

    private static boolean run(boolean trouble) throws Exception {
        Store store = new Store();
        store.put("op/config", configuration(1, "old", false));
        List<Runner> runners = new ArrayList<>();
        for (String service : List.of("old", "new")) {
            for (int i = 0; i < 2; i++) {
                runners.add(new Runner(
                        store,
                        service + "-" + i,
                        100 + runners.size(),
                        service,
                        "north-a",
                        6,
                        (request, connection) -> {
                            connection.respond(200, Runner.headers(request), "by " + service);
                            return true;
                        }));
            }
        }
        List<Kit.Host> hosts = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            hosts.add(new Kit.Host("front-" + i, 1 + i, "north-a", List.of("north-a"), store.address()));
            hosts.get(i).start();
        }
        for (Kit.Host host : hosts) {
            host.awaitReady();
        }
        // All machines have been in touch for longer than stableMs.
        Kit.sleep(6_000);
        for (Kit.Host host : hosts) {
            send(host, "before-" + host.name, "/open/x");
            send(host, "before-keyed-" + host.name, "/keyed/x");
        }
        if (trouble) {
            // As another writer may leave it: fields are missing, and the address is an IP alone instead of IP:PORT.
            store.put("servers/i-other", "{\"service\":\"old\",\"addr\":\"" + Kit.network()
                    + "99\",\"zone\":\"north-a\",\"slots\":6,\"state\":\"ready\"}");
            Kit.note("the entry of another writer is in the store");
        }
        Kit.sleep(2_000);
        store.put("op/config", configuration(2, "new", true));
        double acknowledged = Kit.now();
        Kit.note("configuration 2 acknowledged: /open/ and /keyed/ move to service new, /added/ is new");
        Kit.sleep((long) (CONFIG_SECONDS * 1000) + 500);
        int stale = 0;
        int refused = 0;
        int sent = 0;
        for (int round = 0; round < 40; round++) {
            for (Kit.Host host : hosts) {
                sent++;
                String open = send(host, "open-" + round + "-" + host.name, "/open/x");
                stale += open.endsWith("by old") ? 1 : 0;
                String added = send(host, "added-" + round + "-" + host.name, "/added/x");
                stale += added.startsWith("404") ? 1 : 0;
                String keyed = send(host, "keyed-" + round + "-" + host.name, "/keyed/x");
                refused += keyed.startsWith("200") ? 0 : 1;
            }
            Kit.sleep(250);
        }
        Kit.note(String.format(
                "%.1f to %.1f s after the ack: %d requests to /open/ and as many to /added/, %d of them handled as only"
                        + " version 1 allows; %d of %d requests with a key not served",
                CONFIG_SECONDS + 0.5, Kit.now() - acknowledged, sent, stale, refused, sent));
        // Not judged: whether a restart helps.
        hosts.get(0).signal("TERM");
        for (int i = 0; i < 120 && hosts.get(0).isAlive(); i++) {
            Kit.sleep(100);
        }
        hosts.get(0).start();
        Kit.sleep(10_000);
        Kit.note("10 s after a restart, /ready of " + hosts.get(0).name + " answers "
                + hosts.get(0).readiness() + ", a request with a key gets: "
                + send(hosts.get(0), "restarted", "/keyed/x"));
        return stale > 0;
    }
}
