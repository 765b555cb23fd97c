import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A sound key-value service of the platform, as PROTOCOL describes it. */
final class Store {
    private record Item(String key, String value, long revision, long created, long lease) {
        String json() {
            return "{\"key\":\"" + key + "\",\"value\":\"" + value + "\",\"revision\":" + revision + ",\"created\":"
                    + created + ",\"lease\":" + lease + "}";
        }
    }

    private record Event(String key, long revision, String json) {}

    private final ServerSocket server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private long revision = 100;
    private long nextLease = 7000;

    Store(String address, int port) throws IOException {
        server = new ServerSocket(port, 200, InetAddress.getByName(address));
        daemon(this::accept);
        daemon(this::expire);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message request = Http.read(in, false); request != null; request = Http.read(in, false)) {
                String[] answer = answer(request);
                byte[] body = answer[1].getBytes(StandardCharsets.UTF_8);
                out.write(Http.bytes("HTTP/1.1 " + answer[0] + " X\r\nStore-Era: 1\r\nContent-Type: application/json\r\n"
                        + "Content-Length: " + body.length + "\r\n\r\n"));
                out.write(body);
                out.flush();
            }
        } catch (IOException | InterruptedException | RuntimeException e) {
            // The caller has left.
        }
    }

    private static Map<String, String> query(String target) {
        Map<String, String> values = new HashMap<>();
        int at = target.indexOf('?');
        if (at >= 0) {
            for (String part : target.substring(at + 1).split("&")) {
                String[] pair = part.split("=", 2);
                values.put(pair[0], URLDecoder.decode(pair.length > 1 ? pair[1] : "", StandardCharsets.UTF_8));
            }
        }
        return values;
    }

    private synchronized String[] answer(Http.Message request) throws InterruptedException {
        String path = request.target().split("\\?")[0];
        Map<String, String> query = query(request.target());
        if (path.equals("/kv-range")) {
            String prefix = query.getOrDefault("prefix", "");
            String after = query.getOrDefault("after", "");
            List<String> found = new ArrayList<>();
            boolean more = false;
            for (Item item : items.tailMap(after, after.isEmpty()).values()) {
                if (item.key.startsWith(prefix)) {
                    more |= found.size() >= 500;
                    if (found.size() < 500) {
                        found.add(item.json());
                    }
                }
            }
            return ok("{\"items\":[" + String.join(",", found) + "],\"hasMore\":" + more + ",\"storeRevision\":"
                    + revision + "}");
        }
        if (path.equals("/kv-watch")) {
            String prefix = query.getOrDefault("prefix", "");
            long after = Long.parseLong(query.get("after"));
            long end = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000L;
            if (after > revision) {
                return new String[] {"410", "{}"};
            }
            while (true) {
                List<String> found = history.stream()
                        .filter(event -> event.revision > after && event.key.startsWith(prefix))
                        .map(Event::json)
                        .toList();
                long left = (end - System.nanoTime()) / 1_000_000;
                if (!found.isEmpty() || left <= 0) {
                    return ok("{\"events\":[" + String.join(",", found) + "],\"storeRevision\":" + revision + "}");
                }
                wait(left);
            }
        }
        if (path.equals("/kv-key")) {
            Item item = items.get(query.get("key"));
            return item == null ? new String[] {"404", "{}"} : ok(item.json());
        }
        if (path.equals("/kv-txn")) {
            return transaction((Map<?, ?>) Json.parse(new String(request.body(), StandardCharsets.UTF_8)));
        }
        if (path.equals("/kv-lease")) {
            Map<?, ?> body = (Map<?, ?>) Json.parse(request.text());
            long ttl = Math.max(1000, (Long) body.get("ttlMs"));
            long id = nextLease++;
            leases.put(id, new long[] {System.nanoTime() + ttl * 1_000_000L, ttl});
            return ok("{\"lease\":" + id + ",\"ttlMs\":" + ttl + "}");
        }
        if (path.startsWith("/kv-keep/")) {
            long[] lease = leases.get(Long.parseLong(path.substring(9)));
            if (lease == null) {
                return new String[] {"404", "{}"};
            }
            lease[0] = System.nanoTime() + lease[1] * 1_000_000L;
            return ok("{\"ttlMs\":" + lease[1] + "}");
        }
        if (path.startsWith("/kv-lease-end/")) {
            endLease(Long.parseLong(path.substring(14)));
            return ok("{}");
        }
        return new String[] {"404", "{}"};
    }

    private static String[] ok(String body) {
        return new String[] {"200", body};
    }

    private String[] transaction(Map<?, ?> body) {
        for (Object row : list(body.get("expectRev"))) {
            Map<?, ?> expected = (Map<?, ?>) row;
            Item item = items.get(expected.get("key"));
            if ((item == null ? 0 : item.revision) != (Long) expected.get("revision")) {
                return new String[] {"412", "{\"items\":[]}"};
            }
        }
        for (Object row : list(body.get("put"))) {
            Object lease = ((Map<?, ?>) row).get("lease");
            if (lease instanceof Long id && id != 0 && !leases.containsKey(id)) {
                return new String[] {"404", "{}"};
            }
        }
        revision++;
        for (Object row : list(body.get("put"))) {
            Map<?, ?> put = (Map<?, ?>) row;
            set((String) put.get("key"), (String) put.get("value"), put.get("lease") instanceof Long id ? id : 0);
        }
        for (Object key : list(body.get("delete"))) {
            remove((String) key);
        }
        notifyAll();
        return ok("{\"revision\":" + revision + "}");
    }

    private static List<?> list(Object value) {
        return value == null ? List.of() : (List<?>) value;
    }

    private void set(String key, String value, long lease) {
        Item old = items.get(key);
        Item item = new Item(key, value, revision, old == null ? revision : old.created, lease);
        items.put(key, item);
        history.add(new Event(key, revision, item.json()));
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            history.add(new Event(
                    key, revision, "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"removed\":true}"));
        }
    }

    private void endLease(long id) {
        if (leases.remove(id) != null) {
            List<String> keys = items.values().stream()
                    .filter(item -> item.lease == id)
                    .map(Item::key)
                    .toList();
            if (!keys.isEmpty()) {
                revision++;
                keys.forEach(this::remove);
                notifyAll();
            }
        }
    }

    private void expire() {
        while (true) {
            synchronized (this) {
                long now = System.nanoTime();
                leases.entrySet().stream()
                        .filter(entry -> entry.getValue()[0] - now < 0)
                        .map(Map.Entry::getKey)
                        .toList()
                        .forEach(this::endLease);
            }
            sleep(20);
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Writes a value as the operator or a runner does; returns when the store has accepted it. */
    synchronized long put(String key, String json) {
        revision++;
        set(key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
        return revision;
    }

    synchronized void delete(String key) {
        revision++;
        remove(key);
        notifyAll();
    }

    /** Returns the keys that begin with {@code prefix}. */
    synchronized List<String> keys(String prefix) {
        return items.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }
}
