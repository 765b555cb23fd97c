package org.toucanlane.standins.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.toucanlane.standins.fleet.CallerClient;
import org.toucanlane.standins.fleet.CallerClient.Call;
import org.toucanlane.standins.fleet.Deployment;
import org.toucanlane.standins.fleet.HostProcess;

/** The steps of the demonstration, each of which checks its result and prints one line. Not thread-safe. */
final class DemoSteps {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;
    private static final int UNAUTHORIZED = 401;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int STREAMED_TOKENS = 60;
    private static final int COMPLETION_TOKENS = 12;
    private static final int FLOOD_REQUESTS = 40;

    private final Deployment deployment;
    private final DemoPlan plan;
    private final CallerClient client = new CallerClient();
    private final List<String> failures = new ArrayList<>();
    private final String largeKey;
    private final String boundKey;
    private final String smallKey;

    DemoSteps(Deployment deployment, DemoPlan plan, String largeKey, String boundKey, String smallKey) {
        this.deployment = deployment;
        this.plan = plan;
        this.largeKey = largeKey;
        this.boundKey = boundKey;
        this.smallKey = smallKey;
    }

    /** Runs all steps and returns a description of each failed check. */
    List<String> run() throws IOException, InterruptedException {
        listHostsForBoundAccount();
        streamCompletion();
        requestCompletion();
        readPlainService();
        repeatOneTimeAction();
        sendInvalidKey();
        routeToBoundDataCentre();
        exceedRateLimit();
        revokeKey();
        return failures;
    }

    private URI hostUri(String dataCentre, int index, String path) {
        List<HostProcess> hosts = deployment.hostsIn(dataCentre);
        return hosts.get(index % hosts.size()).callerUri().resolve(path);
    }

    private URI serviceUri(String dataCentre, int index, String path) {
        return hostUri(dataCentre, index, "/services/" + plan.services().name() + path);
    }

    private void check(String step, boolean passed, String detail) {
        System.out.printf("%-4s %-44s %s%n", passed ? "ok" : "FAIL", step, detail);
        if (!passed) {
            failures.add(step + ": " + detail);
        }
    }

    private void listHostsForBoundAccount() throws IOException, InterruptedException {
        HttpResponse<String> response =
                client.send(Call.get(hostUri(plan.callerDataCentre(), 0, "/v1/hosts"), boundKey));
        List<String> dataCentres = JSON.readTree(response.body()).findValuesAsText("dataCentre");
        boolean passed = response.statusCode() == OK
                && !dataCentres.isEmpty()
                && dataCentres.stream().allMatch(plan.boundDataCentre()::equals);
        check("which host to use, for a bound account", passed, "hosts in " + dataCentres);
    }

    private void streamCompletion() throws IOException, InterruptedException {
        String body = CallerClient.chatBody(plan.models().large(), plan.prompt(), STREAMED_TOKENS, true);
        long started = System.nanoTime();
        long firstMillis = -1;
        List<String> lines = new ArrayList<>();
        HttpResponse<Stream<String>> response =
                client.stream(Call.post(hostUri(plan.callerDataCentre(), 0, "/v1/chat/completions"), largeKey, body));
        try (Stream<String> responseBody = response.body()) {
            for (String line : (Iterable<String>) responseBody.filter(text -> text.startsWith("data:"))::iterator) {
                firstMillis = firstMillis < 0 ? (System.nanoTime() - started) / 1_000_000 : firstMillis;
                lines.add(line);
            }
        }
        boolean passed = response.statusCode() == OK
                && lines.size() == STREAMED_TOKENS + 1
                && lines.get(STREAMED_TOKENS).equals("data: [DONE]");
        check(
                "a streamed critique of a dossier",
                passed,
                lines.size() + " events, the first after " + firstMillis + " ms");
    }

    private void requestCompletion() throws IOException, InterruptedException {
        String body =
                CallerClient.chatBody(plan.models().small(), "May I use thyme instead?", COMPLETION_TOKENS, false);
        HttpResponse<String> response =
                client.send(Call.post(hostUri(plan.boundDataCentre(), 0, "/v1/chat/completions"), largeKey, body));
        JsonNode json = JSON.readTree(response.body());
        int tokens = json.path("usage").path("completion_tokens").asInt();
        check(
                "a quick question",
                response.statusCode() == OK && tokens == COMPLETION_TOKENS,
                tokens + " tokens, whole");
    }

    private void readPlainService() throws IOException, InterruptedException {
        HttpResponse<String> read = client.send(
                Call.get(serviceUri(plan.callerDataCentre(), 1, plan.services().readPath()), largeKey));
        HttpResponse<String> anonymousRead = client.send(
                Call.get(serviceUri(plan.callerDataCentre(), 1, plan.services().anonymousPath()), "")
                        .withoutKey());
        boolean passed = read.statusCode() == OK && anonymousRead.statusCode() == OK;
        check(
                "an idempotent read, and one open to all",
                passed,
                read.statusCode() + " and " + anonymousRead.statusCode());
    }

    private void repeatOneTimeAction() throws IOException, InterruptedException {
        Call firstCall = Call.post(
                serviceUri(plan.callerDataCentre(), 0, plan.services().actionPath()), largeKey, "{\"tester\":\"Ana\"}");
        HttpResponse<String> firstResponse = client.send(firstCall.withIdempotencyKey("demo-17"));
        Call secondCall = Call.post(
                serviceUri(plan.boundDataCentre(), 1, plan.services().actionPath()), largeKey, "{\"tester\":\"Ana\"}");
        HttpResponse<String> secondResponse = client.send(secondCall.withIdempotencyKey("demo-17"));
        long executions = 0;
        for (var plain : deployment.plainServices().values()) {
            String stats = deployment
                    .get(URI.create("http://127.0.0.1:" + plain.port() + "/stats"))
                    .body();
            executions +=
                    JSON.readTree(stats).path(plan.services().actionPath()).asLong();
        }
        boolean passed = firstResponse.statusCode() == OK
                && secondResponse.statusCode() == OK
                && firstResponse.body().equals(secondResponse.body())
                && executions == 1;
        check(
                "a one-time action, sent twice under one key",
                passed,
                "ran " + executions + " time(s); both got the same answer");
    }

    private void sendInvalidKey() throws IOException, InterruptedException {
        String body = CallerClient.chatBody(plan.models().small(), "hello", 1, false);
        String invalidKey = largeKey.substring(0, largeKey.length() - 4) + "0000";
        HttpResponse<String> response =
                client.send(Call.post(hostUri(plan.callerDataCentre(), 0, "/v1/chat/completions"), invalidKey, body));
        String ran = JSON.readTree(response.body()).path("error").path("ran").asText();
        boolean passed = response.statusCode() == UNAUTHORIZED && ran.equals("not_run");
        check("a wrong key", passed, response.statusCode() + ", " + ran);
    }

    private void routeToBoundDataCentre() throws IOException, InterruptedException {
        String body = CallerClient.chatBody(plan.models().small(), "Where does this run?", COMPLETION_TOKENS, false);
        HttpResponse<String> response =
                client.send(Call.post(hostUri(plan.callerDataCentre(), 0, "/v1/chat/completions"), boundKey, body));
        String servedIn = response.headers().firstValue("X-Data-Centre").orElse("nowhere");
        boolean passed = response.statusCode() == OK && servedIn.equals(plan.boundDataCentre());
        check(
                "a request bound to its home, sent elsewhere",
                passed,
                "sent to " + plan.callerDataCentre() + ", ran in " + servedIn);
    }

    private void exceedRateLimit() throws InterruptedException {
        AtomicInteger admitted = new AtomicInteger();
        AtomicInteger rejected = new AtomicInteger();
        AtomicInteger unexpected = new AtomicInteger();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < FLOOD_REQUESTS; i++) {
            int index = i;
            Thread caller = new Thread(() -> sendFloodRequest(index, admitted, rejected, unexpected));
            caller.start();
            callers.add(caller);
        }
        for (Thread caller : callers) {
            caller.join();
        }
        boolean passed = admitted.get() > 0 && rejected.get() > 0 && unexpected.get() == 0;
        String detail = admitted + " of " + FLOOD_REQUESTS + " admitted, " + rejected
                + " refused as not run with a time to come back";
        check("an account over its rate, at several hosts", passed, detail);
    }

    private void sendFloodRequest(int index, AtomicInteger admitted, AtomicInteger rejected, AtomicInteger unexpected) {
        String body = CallerClient.chatBody(plan.models().small(), "Write a long letter", 400, false);
        try {
            HttpResponse<String> response = client.send(
                    Call.post(hostUri(plan.callerDataCentre(), index, "/v1/chat/completions"), smallKey, body));
            if (response.statusCode() == OK) {
                admitted.incrementAndGet();
            } else if (response.statusCode() == TOO_MANY_REQUESTS
                    && response.body().contains("not_run")
                    && response.headers().firstValue("Retry-After").isPresent()) {
                rejected.incrementAndGet();
            } else {
                unexpected.incrementAndGet();
            }
        } catch (IOException e) {
            unexpected.incrementAndGet();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void revokeKey() throws InterruptedException {
        deployment.withdrawKey(smallKey);
        long started = System.nanoTime();
        Deployment.CommandResult published = deployment.publish();
        long millis = (System.nanoTime() - started) / 1_000_000;
        boolean refusedEverywhere = deployment.hosts().values().stream().allMatch(this::rejectsSmallKey);
        boolean passed = published.exitCode() == 0 && refusedEverywhere;
        check("a withdrawn key", passed, "refused by every host, confirmed after " + millis + " ms");
    }

    private boolean rejectsSmallKey(HostProcess host) {
        try {
            Call call = Call.get(host.callerUri().resolve("/v1/models"), smallKey);
            return client.send(call).statusCode() == UNAUTHORIZED;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
