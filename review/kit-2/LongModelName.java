import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Requests inside the limits whose model has a long name and whose prompt has many parts; then ordinary ones. */
final class LongModelName {
    private static final int RUNNERS = 13;
    private static final int CALLERS = 16;
    private static final int ORDINARY_REQUESTS = 6;
    private static final int[] LENGTHS = {8_000, 8_000, 8_000, 8_000, 2_000, 500, 120, 1};
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final String CONFIG =
            """
            {"version":7,"routes":[{"name":"chat","host":"chat.example","prefix":"/chat/","kind":"stream",\
            "timeoutMs":5000,"goalMs":800,"priority":0,"service":"pool","maxAttempts":2,"public":false,"sticky":true,\
            "resumable":false,"gapAimMs":300,"homeRegions":[]}],"services":[{"name":"pool","healthPath":"/healthz",\
            "maxConns":370,"proto":"h1","tls":false,"coldS":3.0,"coldPerS":6.1,"backend":{"slots":64,\
            "kvTokens":400241,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,\
            "headerMs":3000,"idleMs":15000},"tenants":[{"name":"parish","apiKeys":["key1"],"priority":1,\
            "unit":"tokens","plainTokens":200,"ratePerS":247672,"burst":247672,"homeRegions":[]}]}""";

    private final Deployment deployment;
    private final AtomicInteger count = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger overdue = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger ordinaryUnanswered = new AtomicInteger();

    private LongModelName(Deployment deployment) {
        this.deployment = deployment;
    }

    public static void main(String[] arguments) throws Exception {
        new LongModelName(new Deployment(arguments[0])).run();
    }

    private void run() throws Exception {
        deployment.store.put("op/config", CONFIG);
        for (int i = 0; i < RUNNERS; i++) {
            Runner runner = new Runner("i-" + i, deployment.network + "." + (101 + i));
            runner.work = (request, out) -> runner.stream(request, out);
            Store.daemon(() -> {
                for (int seq = 1; ; seq++) {
                    deployment.store.put(
                            "servers/" + runner.id, runner.entry("pool", "luzon-a", 64, runner.born(), seq));
                    Store.sleep(1200);
                }
            });
        }
        if (!deployment.start(List.of("luzon-a", "luzon-a"))) {
            deployment.finish(2, "the machines didn't start");
        }
        Thread.sleep(7000);
        ordinary("before");
        if (served.get() < ORDINARY_REQUESTS * 2) {
            deployment.finish(2, "not all ordinary requests were served before the others came");
        }
        long end = System.nanoTime() + 45_000_000_000L;
        List<Thread> threads = new ArrayList<>();
        for (Machine machine : deployment.machines) {
            for (int i = 0; i < CALLERS; i++) {
                int caller = i;
                Thread thread = new Thread(() -> wide(machine, caller, end));
                thread.start();
                threads.add(thread);
            }
        }
        while (System.nanoTime() < end - 6_000_000_000L) {
            Thread.sleep(4000);
            ordinary("beside them");
        }
        for (Thread thread : threads) {
            thread.join();
        }
        ordinary("afterwards");
        boolean broken = unanswered.get() >= 8 && unanswered.get() * 2 > overdue.get();
        deployment.finish(
                broken ? 1 : 0,
                (broken ? "BROKEN" : "held") + ": of " + overdue + " requests without an answer at timeoutMs, " + unanswered
                        + " had none half a second later, " + ordinaryUnanswered + " of them ordinary ones");
    }

    /** Sends requests with many parts one after the other. */
    private void wide(Machine machine, int caller, long end) {
        String model = deployment.trouble ? "m".repeat(LENGTHS[caller % LENGTHS.length]) : "m";
        for (int i = 0; System.nanoTime() < end; i++) {
            StringBuilder parts = new StringBuilder();
            for (int part = 0; part < 1_000; part++) {
                parts.append(Integer.toHexString(0x1000 + (caller * 16 + i % 16) * 200 + part)).append(":9,");
            }
            String request = request(model, "9009,40", parts + "ab:9");
            deployment.note("wide request of " + request.length() + " bytes at " + machine.name + ": "
                    + send(machine, request) + ", memory " + machine.memoryMb() + " MB");
            Store.sleep(500);
        }
    }

    /** Sends ordinary requests to each machine, all at the same time. */
    private void ordinary(String when) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        for (Machine machine : deployment.machines) {
            for (int i = 0; i < ORDINARY_REQUESTS; i++) {
                Thread thread = new Thread(() -> ordinary(machine, when));
                thread.start();
                threads.add(thread);
            }
        }
        for (Thread thread : threads) {
            thread.join();
        }
        deployment.machines.forEach(machine -> deployment.note(machine.name + ": process "
                + (machine.process.isAlive() ? "alive" : "ended") + ", memory " + machine.memoryMb() + " MB, ready: "
                + machine.ready()));
    }

    private void ordinary(Machine machine, String when) {
        String outcome = send(machine, request("m", "383,20", "5c1e07a2:92,77:291"));
        served.addAndGet(outcome.startsWith("200") ? 1 : 0);
        ordinaryUnanswered.addAndGet(outcome.startsWith("no answer") ? 1 : 0);
        deployment.note("ordinary request " + when + " at " + machine.name + ": " + outcome);
    }

    /** Sends a request and waits until half a second after its timeout. */
    private String send(Machine machine, String request) {
        long sent = System.nanoTime();
        String outcome;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(machine.ip, Machine.FRONT), 1000);
            socket.setSoTimeout(TIMEOUT_MILLIS + 500);
            socket.getOutputStream().write(Http.bytes(request));
            Http.Message answer = Http.read(socket.getInputStream(), true);
            outcome = answer == null ? "closed" : String.valueOf(answer.status());
        } catch (SocketTimeoutException e) {
            outcome = "no answer";
            unanswered.incrementAndGet();
        } catch (IOException e) {
            outcome = "closed";
        }
        long millis = (System.nanoTime() - sent) / 1_000_000;
        if (millis >= TIMEOUT_MILLIS) {
            overdue.incrementAndGet();
        }
        return outcome + " after " + millis + " ms";
    }

    private String request(String model, String tokens, String parts) {
        return "POST /chat/x HTTP/1.1\r\nHost: chat.example\r\nX-Request-Id: c" + count.incrementAndGet()
                + "\r\nX-Model: " + model + "\r\nX-Token-Count: " + tokens + "\r\nX-Prefix-Hash: " + parts
                + "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Token key1\r\nContent-Length: 2\r\n\r\nhi";
    }
}
