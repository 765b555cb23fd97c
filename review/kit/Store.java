import java.io.Closeable;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A sound key-value service, as the pages describe the platform's. Thread-safe. */
final class Store implements Closeable {

    private static final int PAGE = 500;

    /** The service keeps the changes of the last seconds, {@code historyS} of the settings. */
    private static final long HISTORY_NANOS = 20_000_000_000L;

    private final Http.Server server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Deque<Event> history = new ArrayDeque<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private long revision = 1;
    private long forgotten;
    private long lastLease;

    private record Item(String value, long revision, long created, long lease) {}

    private record Event(long revision, String json, long at) {}

    Store() throws IOException {
        server = new Http.Server(Kit.network() + "250", 0, this::handle);
        Kit.closing(this);
        Kit.background(() -> {
            while (true) {
                Kit.sleep(50);
                expire();
            }
        });
    }

    String address() {
        return server.address();
    }

    /** Writes a value as the operator or a server does, or removes the key if it is null; returns the revision. */
    synchronized long put(String key, String value) {
        return putBytes(key, value == null ? null : Http.bytes(value));
    }

    synchronized long putBytes(String key, byte[] value) {
        return change(key, value == null ? null : Base64.getEncoder().encodeToString(value), 0);
    }

    synchronized boolean contains(String key) {
        return items.containsKey(key);
    }

    private long change(String key, String value, long lease) {
        Item old = items.get(key);
        if (value == null) {
            if (old == null) {
                return revision;
            }
            items.remove(key);
            add(new Event(++revision, "{\"key\":" + quote(key) + ",\"revision\":" + revision + ",\"removed\":true}", System.nanoTime()));
        } else {
            revision++;
            items.put(key, new Item(value, revision, old == null ? revision : old.created(), lease));
            add(new Event(revision, json(key), System.nanoTime()));
        }
        notifyAll();
        return revision;
    }

    private void add(Event event) {
        history.addLast(event);
    }

    private String json(String key) {
        Item item = items.get(key);
        return "{\"key\":" + quote(key) + ",\"value\":\"" + item.value() + "\",\"revision\":" + item.revision()
                + ",\"created\":" + item.created() + ",\"lease\":" + item.lease() + "}";
    }

    private static String quote(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    private synchronized void expire() {
        long now = System.nanoTime();
        while (!history.isEmpty() && now - history.getFirst().at() > HISTORY_NANOS) {
            forgotten = history.removeFirst().revision();
        }
        List<Long> ended = leases.entrySet().stream()
                .filter(lease -> lease.getValue()[1] - now < 0)
                .map(Map.Entry::getKey)
                .toList();
        ended.forEach(this::end);
    }

    private void end(long lease) {
        leases.remove(lease);
        List.copyOf(items.keySet()).stream()
                .filter(key -> items.get(key).lease() == lease)
                .forEach(key -> change(key, null, 0));
    }

    /** An address of the service for one machine, which the service may turn away with 503. */
    final class Gate {

        private final Http.Server gate;
        volatile boolean turnsAway;

        Gate(int number) throws IOException {
            gate = Kit.closing(new Http.Server(Kit.network() + number, 0, (request, connection) -> {
                if (turnsAway) {
                    connection.respond(503, "", "");
                    return true;
                }
                return handle(request, connection);
            }));
        }

        String address() {
            return gate.address();
        }
    }

    private boolean handle(Http.Message request, Http.Connection connection) throws IOException {
        String[] words = request.line().split(" ");
        int mark = words[1].indexOf('?');
        String path = mark < 0 ? words[1] : words[1].substring(0, mark);
        Map<String, String> query = new HashMap<>();
        if (mark >= 0) {
            for (String part : words[1].substring(mark + 1).split("&")) {
                String[] pair = part.split("=", 2);
                query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
            }
        }
        String[] answer = answer(path, query, request.text());
        connection.respond(Integer.parseInt(answer[0]), "Content-Type: application/json\r\n", answer[1]);
        return true;
    }

    private synchronized String[] answer(String path, Map<String, String> query, String body) {
        if (path.equals("/kv-key")) {
            String key = query.get("key");
            return items.containsKey(key) ? ok(json(key)) : status(404);
        } else if (path.equals("/kv-range")) {
            return range(query.getOrDefault("prefix", ""), query.getOrDefault("after", ""));
        } else if (path.equals("/kv-watch")) {
            return watch(
                    query.getOrDefault("prefix", ""),
                    Long.parseLong(query.get("after")),
                    Long.parseLong(query.get("waitMs")));
        } else if (path.equals("/kv-lease")) {
            long millis = Long.parseLong(find(body, "\"ttlMs\":(\\d+)"));
            lastLease++;
            leases.put(lastLease, new long[] {millis, System.nanoTime() + millis * 1_000_000});
            return ok("{\"lease\":" + lastLease + ",\"ttlMs\":" + millis + "}");
        } else if (path.startsWith("/kv-keep/")) {
            long[] lease = leases.get(Long.parseLong(path.substring("/kv-keep/".length())));
            if (lease == null) {
                return status(404);
            }
            lease[1] = System.nanoTime() + lease[0] * 1_000_000;
            return ok("{\"ttlMs\":" + lease[0] + "}");
        } else if (path.startsWith("/kv-lease-end/")) {
            end(Long.parseLong(path.substring("/kv-lease-end/".length())));
            return ok("{}");
        } else if (path.equals("/kv-txn")) {
            return transact(body);
        }
        return status(404);
    }

    private static String[] ok(String body) {
        return new String[] {"200", body};
    }

    private static String[] status(int status) {
        return new String[] {Integer.toString(status), "{}"};
    }

    private String[] range(String prefix, String after) {
        List<String> page = new ArrayList<>();
        boolean more = false;
        for (String key : items.tailMap(after, false).keySet()) {
            if (key.startsWith(prefix)) {
                if (page.size() == PAGE) {
                    more = true;
                    break;
                }
                page.add(json(key));
            }
        }
        return ok("{\"items\":[" + String.join(",", page) + "],\"hasMore\":" + more + ",\"storeRevision\":" + revision
                + "}");
    }

    private String[] watch(String prefix, long after, long waitMillis) {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            if (after < forgotten || after > revision) {
                return status(410);
            }
            List<String> events = history.stream()
                    .filter(event -> event.revision() > after)
                    .map(Event::json)
                    .filter(json -> json.startsWith("{\"key\":\"" + prefix))
                    .toList();
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return ok("{\"events\":[" + String.join(",", events) + "],\"storeRevision\":" + revision + "}");
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static String find(String text, String pattern) {
        Matcher matcher = Pattern.compile(pattern).matcher(text);
        return matcher.find() ? matcher.group(1) : "";
    }

    private String[] transact(String body) {
        String expected = find(body, "\"expectRev\":\\[(.*?)\\]");
        Matcher row = Pattern.compile("\"key\":\"(.*?)\",\"revision\":(\\d+)").matcher(expected);
        while (row.find()) {
            Item item = items.get(row.group(1));
            if ((item == null ? 0 : item.revision()) != Long.parseLong(row.group(2))) {
                return status(412);
            }
        }
        Matcher put = Pattern.compile("\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\",\"lease\":(\\d+)").matcher(body);
        List<String[]> puts = new ArrayList<>();
        while (put.find()) {
            long lease = Long.parseLong(put.group(3));
            if (lease != 0 && !leases.containsKey(lease)) {
                return status(404);
            }
            puts.add(new String[] {put.group(1), put.group(2), put.group(3)});
        }
        Matcher delete = Pattern.compile("\"([^\"]*)\"").matcher(find(body, "\"delete\":\\[(.*?)\\]"));
        while (delete.find()) {
            change(delete.group(1), null, 0);
        }
        puts.forEach(entry -> change(entry[0], entry[1], Long.parseLong(entry[2])));
        return ok("{\"revision\":" + revision + "}");
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
