import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A request that crashes the only runner of its region comes again. */
final class DeadlyRequest {
    private static final String DEADLY = "7 boxes, chapel of Santa Cruz";
    private static final String CONFIG =
            """
            {"version":7,"routes":[{"name":"confirm","host":"pickup.example","prefix":"/confirm/","kind":"unsafe",\
            "timeoutMs":2000,"goalMs":300,"priority":2,"service":"pickup-desk","maxAttempts":1,"public":false,\
            "sticky":false,"resumable":false,"homeRegions":[]}],"services":[{"name":"pickup-desk",\
            "healthPath":"/healthz","maxConns":110,"proto":"h1","tls":false,"coldS":0.0,"coldPerS":0.0}],\
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerMs":3000,"idleMs":15000},\
            "tenants":[{"name":"parish","apiKeys":["key1"],"priority":1,"unit":"tokens","plainTokens":200,\
            "ratePerS":247672,"burst":247672,"homeRegions":[]}]}""";

    private final Deployment deployment;
    private final List<Long> deadlyArrivals = new ArrayList<>();
    private final AtomicInteger soundLost = new AtomicInteger();
    private final AtomicInteger soundServed = new AtomicInteger();
    private volatile boolean ended;
    private volatile long holdFrom = Long.MAX_VALUE;

    private DeadlyRequest(Deployment deployment) {
        this.deployment = deployment;
    }

    public static void main(String[] arguments) throws Exception {
        new DeadlyRequest(new Deployment(arguments[0])).run();
    }

    private void run() throws Exception {
        deployment.store.put("op/config", CONFIG);
        Runner near = new Runner("i-luzon", deployment.network + ".101");
        Runner far = new Runner("i-visayas", deployment.network + ".102");
        for (Runner runner : List.of(near, far)) {
            runner.work = (request, out) -> {
                if (request.text().equals(DEADLY)) {
                    onDeadly(runner);
                    if (deployment.trouble) {
                        return;
                    }
                }
                Thread.sleep(150);
                runner.success(request, out, "booked");
            };
        }
        Store.daemon(() -> heartbeats(near, "luzon-a"));
        Store.daemon(() -> heartbeats(far, "visayas-a"));
        if (!deployment.start(List.of("luzon-a", "luzon-a", "visayas-a"))) {
            deployment.finish(2, "the machines didn't start");
        }
        Thread.sleep(7000);
        for (int i = 0; i < 3; i++) {
            Store.daemon(this::soundCalls);
        }
        Thread.sleep(2000);
        for (int i = 0; i < 11; i++) {
            Machine machine = deployment.machines.get(i % 2);
            String id = "deadly" + i;
            int before = deadlyArrivals.size();
            Http.Message answer = Deployment.call(machine.ip, request(id, DEADLY), 3000);
            deployment.note("deadly request " + id + " at " + machine.name + ": " + Deployment.text(answer)
                    + (deadlyArrivals.size() > before ? ", it reached a runner" : ", it reached no runner"));
            Thread.sleep(3000);
            if (deployment.trouble && deadlyArrivals.size() > before) {
                near.restart();
            }
            if (deadlyArrivals.size() == 3 && holdFrom == Long.MAX_VALUE) {
                holdFrom = deadlyArrivals.get(2) + 5_000_000_000L;
            }
            Thread.sleep(3000);
        }
        ended = true;
        Thread.sleep(2500);
        long late = deadlyArrivals.stream().filter(at -> at > holdFrom).count();
        deployment.note("sound requests: " + soundServed + " served, " + soundLost
                + " without their answer, sent after the request ought to be held back");
        if (soundServed.get() < 100) {
            deployment.finish(2, "too few sound requests were served");
        }
        boolean broken = deployment.trouble && late > 3;
        deployment.finish(
                broken ? 1 : 0,
                (broken ? "BROKEN: " : "held: ") + late + " retries reached the runner later than stableMs after "
                        + (deployment.trouble ? "the third crash; 3 are allowed" : "the third run; it crashed nothing"));
    }

    private static String request(String id, String body) {
        return "POST /confirm/x HTTP/1.1\r\nHost: pickup.example\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Ms: 2000\r\nAuthorization: Token key1\r\nContent-Length: " + body.length() + "\r\n\r\n"
                + body;
    }

    private synchronized void onDeadly(Runner runner) throws IOException {
        deadlyArrivals.add(System.nanoTime());
        deployment.note("the deadly request reaches " + runner.id);
        if (deployment.trouble) {
            runner.crash();
        }
    }

    /** Writes the runner's entry while it runs, and at once when it has started again. */
    private void heartbeats(Runner runner, String zone) {
        long written = 0;
        long lastBorn = 0;
        for (int seq = 1; !ended; Store.sleep(20)) {
            long born = runner.born();
            if (runner.runs() && (born != lastBorn || System.nanoTime() - written > 1_200_000_000L)) {
                deployment.store.put("servers/" + runner.id, runner.entry("pickup-desk", zone, 6, born, seq++));
                written = System.nanoTime();
                lastBorn = born;
            }
        }
    }

    private void soundCalls() {
        for (int i = 0; !ended; i++) {
            String id = "s" + Thread.currentThread().getId() + "x" + i;
            long sent = System.nanoTime();
            Http.Message answer = Deployment.call(
                    deployment.machines.get(i % 2).ip, request(id, "booking " + id), 3000);
            boolean served = answer != null && answer.status() == 200;
            if (served) {
                soundServed.incrementAndGet();
            } else if (sent > holdFrom - 200_000_000L && (answer == null || answer.status() != 503)) {
                soundLost.incrementAndGet();
                deployment.note("sound request " + id + ": " + Deployment.text(answer));
            }
            Store.sleep(100);
        }
    }
}
