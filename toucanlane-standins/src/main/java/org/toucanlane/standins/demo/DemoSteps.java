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

/** What the demonstration shows, each step with a check. Not thread-safe. */
final class DemoSteps {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;
    private static final int UNAUTHORIZED = 401;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int CRITIQUE_TOKENS = 60;
    private static final int QUESTION_TOKENS = 12;
    private static final int FLOOD = 40;

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

    /** Runs all steps and returns what did not do as it should. */
    List<String> run() throws IOException, InterruptedException {
        askWhichHost();
        streamCritique();
        askQuestion();
        readLog();
        signOffTwice();
        useWrongKey();
        stayAtHome();
        holdToRate();
        withdrawKey();
        return failures;
    }

    private URI host(String dataCentre, int index, String path) {
        List<HostProcess> hosts = deployment.hostsIn(dataCentre);
        return hosts.get(index % hosts.size()).callerUri().resolve(path);
    }

    private URI service(String dataCentre, int index, String path) {
        return host(dataCentre, index, "/services/" + plan.services().name() + path);
    }

    private void check(String step, boolean good, String detail) {
        System.out.printf("%-4s %-44s %s%n", good ? "ok" : "FAIL", step, detail);
        if (!good) {
            failures.add(step + ": " + detail);
        }
    }

    private void askWhichHost() throws IOException, InterruptedException {
        HttpResponse<String> answer = client.send(Call.get(host(plan.home(), 0, "/v1/hosts"), boundKey));
        List<String> centres = JSON.readTree(answer.body()).findValuesAsText("dataCentre");
        boolean good = answer.statusCode() == OK
                && !centres.isEmpty()
                && centres.stream().allMatch(plan.away()::equals);
        check("which host to use, for a bound account", good, "hosts in " + centres);
    }

    private void streamCritique() throws IOException, InterruptedException {
        String body = CallerClient.chatBody(plan.models().large(), plan.prompt(), CRITIQUE_TOKENS, true);
        long started = System.nanoTime();
        long firstMillis = -1;
        List<String> lines = new ArrayList<>();
        HttpResponse<Stream<String>> answer =
                client.stream(Call.post(host(plan.home(), 0, "/v1/chat/completions"), largeKey, body));
        try (Stream<String> body2 = answer.body()) {
            for (String line : (Iterable<String>) body2.filter(text -> text.startsWith("data:"))::iterator) {
                firstMillis = firstMillis < 0 ? (System.nanoTime() - started) / 1_000_000 : firstMillis;
                lines.add(line);
            }
        }
        boolean good = answer.statusCode() == OK
                && lines.size() == CRITIQUE_TOKENS + 1
                && lines.get(CRITIQUE_TOKENS).equals("data: [DONE]");
        check(
                "a streamed critique of a dossier",
                good,
                lines.size() + " events, the first after " + firstMillis + " ms");
    }

    private void askQuestion() throws IOException, InterruptedException {
        String body = CallerClient.chatBody(plan.models().small(), "May I use thyme instead?", QUESTION_TOKENS, false);
        HttpResponse<String> answer =
                client.send(Call.post(host(plan.away(), 0, "/v1/chat/completions"), largeKey, body));
        JsonNode tree = JSON.readTree(answer.body());
        int tokens = tree.path("usage").path("completion_tokens").asInt();
        check("a quick question", answer.statusCode() == OK && tokens == QUESTION_TOKENS, tokens + " tokens, whole");
    }

    private void readLog() throws IOException, InterruptedException {
        HttpResponse<String> read =
                client.send(Call.get(service(plan.home(), 1, plan.services().read()), largeKey));
        HttpResponse<String> open = client.send(
                Call.get(service(plan.home(), 1, plan.services().open()), "").withoutKey());
        boolean good = read.statusCode() == OK && open.statusCode() == OK;
        check("an idempotent read, and one open to all", good, read.statusCode() + " and " + open.statusCode());
    }

    private void signOffTwice() throws IOException, InterruptedException {
        Call first = Call.post(service(plan.home(), 0, plan.services().action()), largeKey, "{\"tester\":\"Ana\"}");
        HttpResponse<String> one = client.send(first.withIdempotencyKey("demo-17"));
        Call second = Call.post(service(plan.away(), 1, plan.services().action()), largeKey, "{\"tester\":\"Ana\"}");
        HttpResponse<String> two = client.send(second.withIdempotencyKey("demo-17"));
        long runs = 0;
        for (var plain : deployment.plainServices().values()) {
            String stats = deployment
                    .get(URI.create("http://127.0.0.1:" + plain.port() + "/stats"))
                    .body();
            runs += JSON.readTree(stats).path(plan.services().action()).asLong();
        }
        boolean good =
                one.statusCode() == OK && two.statusCode() == OK && one.body().equals(two.body()) && runs == 1;
        check(
                "a one-time action, sent twice under one key",
                good,
                "ran " + runs + " time(s); both got the same answer");
    }

    private void useWrongKey() throws IOException, InterruptedException {
        String body = CallerClient.chatBody(plan.models().small(), "hello", 1, false);
        String wrong = largeKey.substring(0, largeKey.length() - 4) + "0000";
        HttpResponse<String> answer = client.send(Call.post(host(plan.home(), 0, "/v1/chat/completions"), wrong, body));
        String ran = JSON.readTree(answer.body()).path("error").path("ran").asText();
        boolean good = answer.statusCode() == UNAUTHORIZED && ran.equals("not_run");
        check("a wrong key", good, answer.statusCode() + ", " + ran);
    }

    private void stayAtHome() throws IOException, InterruptedException {
        String body = CallerClient.chatBody(plan.models().small(), "Where does this run?", QUESTION_TOKENS, false);
        HttpResponse<String> answer =
                client.send(Call.post(host(plan.home(), 0, "/v1/chat/completions"), boundKey, body));
        String servedIn = answer.headers().firstValue("X-Data-Centre").orElse("nowhere");
        boolean good = answer.statusCode() == OK && servedIn.equals(plan.away());
        check("a request bound to its home, sent elsewhere", good, "sent to " + plan.home() + ", ran in " + servedIn);
    }

    private void holdToRate() throws InterruptedException {
        AtomicInteger admitted = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < FLOOD; i++) {
            int index = i;
            Thread caller = new Thread(() -> flood(index, admitted, refused, other));
            caller.start();
            callers.add(caller);
        }
        for (Thread caller : callers) {
            caller.join();
        }
        boolean good = admitted.get() > 0 && refused.get() > 0 && other.get() == 0;
        String detail =
                admitted + " of " + FLOOD + " admitted, " + refused + " refused as not run with a time to come back";
        check("an account over its rate, at several hosts", good, detail);
    }

    private void flood(int index, AtomicInteger admitted, AtomicInteger refused, AtomicInteger other) {
        String body = CallerClient.chatBody(plan.models().small(), "Write a long letter", 400, false);
        try {
            HttpResponse<String> answer =
                    client.send(Call.post(host(plan.home(), index, "/v1/chat/completions"), smallKey, body));
            if (answer.statusCode() == OK) {
                admitted.incrementAndGet();
            } else if (answer.statusCode() == TOO_MANY_REQUESTS
                    && answer.body().contains("not_run")
                    && answer.headers().firstValue("Retry-After").isPresent()) {
                refused.incrementAndGet();
            } else {
                other.incrementAndGet();
            }
        } catch (IOException e) {
            other.incrementAndGet();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void withdrawKey() throws InterruptedException {
        deployment.withdrawKey(smallKey);
        long started = System.nanoTime();
        Deployment.CommandResult published = deployment.publish();
        long millis = (System.nanoTime() - started) / 1_000_000;
        boolean refusedEverywhere = deployment.hosts().values().stream().allMatch(this::refusesSmallKey);
        boolean good = published.exitCode() == 0 && refusedEverywhere;
        check("a withdrawn key", good, "refused by every host, confirmed after " + millis + " ms");
    }

    private boolean refusesSmallKey(HostProcess host) {
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
