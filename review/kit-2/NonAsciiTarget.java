import java.nio.charset.StandardCharsets;
import java.util.List;

/** Requests whose path or query holds a letter beyond ASCII, as UTF-8 bytes. */
final class NonAsciiTarget {
    private static final String CONFIG =
            """
            {"version":7,"routes":[{"name":"status","host":"pickup.example","prefix":"/status/","kind":"safe",\
            "timeoutMs":2000,"goalMs":300,"priority":2,"service":"pickup-desk","maxAttempts":2,"public":false,\
            "sticky":false,"resumable":false,"homeRegions":[]}],"services":[{"name":"pickup-desk",\
            "healthPath":"/healthz","maxConns":110,"proto":"h1","tls":false,"coldS":0.0,"coldPerS":0.0}],\
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerMs":3000,"idleMs":15000},\
            "tenants":[{"name":"parish","apiKeys":["key1"],"priority":1,"unit":"tokens","plainTokens":200,\
            "ratePerS":247672,"burst":247672,"homeRegions":[]}]}""";

    private NonAsciiTarget() {}

    public static void main(String[] arguments) throws Exception {
        Deployment deployment = new Deployment(arguments[0]);
        deployment.store.put("op/config", CONFIG);
        Runner runner = new Runner("i-luzon", deployment.network + ".101");
        Store.daemon(() -> {
            for (int seq = 1; ; seq++) {
                deployment.store.put(
                        "servers/" + runner.id, runner.entry("pickup-desk", "luzon-a", 6, runner.born(), seq));
                Store.sleep(1200);
            }
        });
        if (!deployment.start(List.of("luzon-a", "luzon-a"))) {
            deployment.finish(2, "the machines didn't start");
        }
        Thread.sleep(7000);
        String letter = deployment.trouble
                ? new String("\u00f1".getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1)
                : "%C3%B1";
        int changed = 0;
        int served = 0;
        for (int i = 0; i < 20; i++) {
            String target = i % 2 == 0 ? "/status/x?donor=Pe" + letter + "a" + i : "/status/Pe" + letter + "a" + i;
            String id = "u" + i;
            int before = runner.runs.size();
            Http.Message answer = Deployment.call(
                    deployment.machines.get(i % 4 / 2).ip,
                    "GET " + target + " HTTP/1.1\r\nHost: pickup.example\r\nX-Request-Id: " + id
                            + "\r\nX-Deadline-Ms: 2000\r\nAuthorization: Token key1\r\n\r\n",
                    3000);
            served += answer != null && answer.status() == 200 ? 1 : 0;
            String seen = runner.runs.size() > before ? runner.runs.get(before).request().target() : "";
            changed += seen.isEmpty() || seen.equals(target) ? 0 : 1;
            deployment.note("sent " + hex(target) + ", answered " + Deployment.text(answer) + ", run as " + hex(seen));
        }
        if (!deployment.trouble && served < 20) {
            deployment.finish(2, "only " + served + " requests were served");
        }
        deployment.finish(
                changed > 0 ? 1 : 0,
                (changed > 0 ? "BROKEN" : "held") + ": of 20 requests, " + changed
                        + " were run with a path or query that differs from the client's");
    }

    private static String hex(String text) {
        StringBuilder out = new StringBuilder();
        for (char c : text.toCharArray()) {
            out.append(c < 128 ? String.valueOf(c) : String.format("<%02X>", (int) c));
        }
        return out.toString();
    }
}
