import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** A tenant that was quiet for half a minute sends many times its usual at all machines. */
final class QuietTenant {
    private static final long RATE = 247_672;
    private static final long BURST = 247_672;
    private static final int TOKENS = 8_000;
    private static final long WINDOW_NANOS = 8_000_000_000L;
    private static final double LIMIT = (RATE * 8 + BURST) * 1.1 + 190_000;
    private static final String CONFIG =
            """
            {"version":7,"routes":[{"name":"chat","host":"chat.example","prefix":"/chat/","kind":"stream",\
            "timeoutMs":5000,"goalMs":800,"priority":0,"service":"pool","maxAttempts":2,"public":false,"sticky":true,\
            "resumable":false,"gapAimMs":300,"homeRegions":[]}],"services":[{"name":"pool","healthPath":"/healthz",\
            "maxConns":370,"proto":"h1","tls":false,"coldS":3.0,"coldPerS":6.1,"backend":{"slots":64,\
            "kvTokens":400241,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,\
            "headerMs":3000,"idleMs":15000},"tenants":[{"name":"parish","apiKeys":["key1"],"priority":1,\
            "unit":"tokens","plainTokens":200,"ratePerS":%d,"burst":%d,"homeRegions":[]}]}"""
                    .formatted(RATE, BURST);

    private final Deployment deployment;
    private final Map<String, Long> sent = new ConcurrentHashMap<>();
    private final AtomicInteger count = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger limited = new AtomicInteger();
    private final AtomicInteger others = new AtomicInteger();

    private QuietTenant(Deployment deployment) {
        this.deployment = deployment;
    }

    public static void main(String[] arguments) throws Exception {
        new QuietTenant(new Deployment(arguments[0])).run();
    }

    private void run() throws Exception {
        deployment.store.put("op/config", CONFIG);
        List<String> zones = List.of(
                "luzon-a", "luzon-a", "luzon-a", "visayas-a", "visayas-a", "visayas-a", "mindanao-a", "mindanao-a");
        List<Runner> runners = new ArrayList<>();
        for (int i = 0; i < 13; i++) {
            String zone = i < 6 ? "luzon-a" : i < 10 ? "visayas-a" : "mindanao-a";
            Runner runner = new Runner("i-" + i, deployment.network + "." + (101 + i));
            runner.work = (request, out) -> {
                String body = "id: 1\ndata: good\n\nid: 2\ndata: morning\n\n";
                out.write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: "
                        + request.header("X-Request-Id") + "\r\nX-Response-Seal: seal-" + runner.id
                        + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body));
                out.flush();
            };
            runners.add(runner);
            long born = System.currentTimeMillis();
            Store.daemon(() -> {
                for (int seq = 1; ; seq++) {
                    deployment.store.put("servers/" + runner.id, runner.entry("pool", zone, 64, born, seq));
                    Store.sleep(1200);
                }
            });
        }
        if (!deployment.start(zones)) {
            deployment.finish(2, "the machines didn't start");
        }
        Thread.sleep(15_000);
        batch(1);
        deployment.note("the tenant is quiet");
        Thread.sleep(30_000);
        batch(deployment.trouble ? 7.5 : 1);
        Thread.sleep(1500);
        List<Runner.Run> runs = runners.stream()
                .flatMap(runner -> runner.runs.stream())
                .filter(run -> sent.containsKey(run.request().header("X-Request-Id")))
                .sorted((a, b) -> Long.compare(a.at(), b.at()))
                .toList();
        long most = 0;
        for (Runner.Run last : runs) {
            long from = last.at() - WINDOW_NANOS;
            long inside = runs.stream()
                    .filter(run -> run.at() <= last.at()
                            && sent.get(run.request().header("X-Request-Id")) >= from)
                    .count();
            most = Math.max(most, inside * TOKENS);
        }
        deployment.note("answers: " + served + " successes, " + limited + " times 429, " + others + " others; runs: "
                + runs.size());
        if (served.get() < 60) {
            deployment.finish(2, "too few requests were served");
        }
        boolean broken = most > LIMIT;
        deployment.finish(
                broken ? 1 : 0,
                (broken ? "BROKEN" : "held") + ": " + most + " tokens were both sent and run within 8 s; the limit is "
                        + (long) LIMIT);
    }

    /** Sends the tenant's batch, {@code factor} times as large as usual: a part at once, the rest over 6.5 s. */
    private void batch(double factor) throws InterruptedException {
        int atOnce = (int) (4 * factor);
        double perSecond = 0.53 * factor;
        deployment.note("at each of the machines " + atOnce + " requests at once, then " + perSecond + " a second");
        List<Thread> threads = new ArrayList<>();
        CountDownLatch go = new CountDownLatch(1);
        for (Machine machine : deployment.machines) {
            for (int i = 0; i < atOnce; i++) {
                Thread thread = new Thread(() -> {
                    try {
                        go.await();
                    } catch (InterruptedException e) {
                        return;
                    }
                    send(machine);
                });
                thread.setDaemon(true);
                thread.start();
                threads.add(thread);
            }
            Thread rest = new Thread(() -> {
                try {
                    go.await();
                } catch (InterruptedException e) {
                    return;
                }
                long end = System.nanoTime() + 6_500_000_000L;
                while (System.nanoTime() < end) {
                    Store.sleep((long) (1000 / perSecond));
                    Store.daemon(() -> send(machine));
                }
            });
            rest.setDaemon(true);
            rest.start();
            threads.add(rest);
        }
        go.countDown();
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private void send(Machine machine) {
        String id = "q" + count.incrementAndGet();
        sent.put(id, System.nanoTime());
        Http.Message answer = Deployment.call(
                machine.ip,
                "POST /chat/x HTTP/1.1\r\nHost: chat.example\r\nX-Request-Id: " + id
                        + "\r\nX-Model: m\r\nX-Token-Count: 383," + (TOKENS - 383)
                        + "\r\nX-Prefix-Hash: 5c1e07a2:92," + Integer.toHexString(0x1000000 + count.get())
                        + ":291\r\nX-Deadline-Ms: 5000\r\nAuthorization: Token key1\r\nContent-Length: 2\r\n\r\nhi",
                6000);
        int status = answer == null ? 0 : answer.status();
        (status == 200 ? served : status == 429 ? limited : others).incrementAndGet();
        deployment.note(id + " at " + machine.name + ": " + Deployment.text(answer));
    }
}
