package org.toucanlane.standins.measure;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.toucanlane.coordination.share.InsufficientTokensException;
import org.toucanlane.coordination.share.LoanTerms;
import org.toucanlane.coordination.share.LoanTransport;
import org.toucanlane.coordination.share.ShareLedger;
import org.toucanlane.coordination.share.ShareTable;
import org.toucanlane.domain.configuration.ConfigurationSnapshot;
import org.toucanlane.domain.configuration.InvalidConfigurationException;
import org.toucanlane.domain.configuration.Manifest;
import org.toucanlane.domain.configuration.ServiceDocument;
import org.toucanlane.policy.queue.PlaceEstimate;
import org.toucanlane.policy.queue.WaitingQueue;
import org.toucanlane.policy.queue.WaitingRequest;
import org.toucanlane.policy.routing.EndpointSelector;
import org.toucanlane.policy.routing.EndpointView;

/**
 * Measures the core data structures in this process, without hosts, at the target deployment size: applying a
 * configuration version, admitting requests against a token limit, selecting an endpoint, and queueing a request and
 * taking the first of those that wait.
 */
final class ScaleMeasurement implements Measurement {

    private static final int HOSTS = 350;
    private static final int DATA_CENTRES = 23;
    private static final int ENDPOINTS = 800;
    private static final int LOAD_ROUNDS = 10;
    private static final int CALLS = 200_000;
    private static final int WAITING = 2_000;

    @Override
    public void run(Path work, long seed, ObjectNode result) throws IOException, InterruptedException {
        ConfigurationGenerator generator = new ConfigurationGenerator(Files.createDirectories(work.resolve("target")));
        String[] dataCentres = IntStream.range(0, ENDPOINTS)
                .mapToObj(i -> "r" + i % DATA_CENTRES + "-a")
                .toArray(String[]::new);
        generator.regions(DATA_CENTRES, HOSTS).modelService(8, dataCentres).bulkAccounts(2500, 4);
        try {
            ConfigurationSnapshot snapshot = measureSnapshotLoad(generator.root(), result);
            measureAdmission(snapshot.shares(), result.putObject("admit"));
        } catch (InvalidConfigurationException e) {
            throw new IllegalStateException(e);
        }
        for (int candidates : new int[] {16, 64, 800}) {
            measureSelection(candidates, seed, result.putObject("choose_among_" + candidates));
        }
        measureQueue(result.putObject("queue_among_" + WAITING));
    }

    private static ConfigurationSnapshot measureSnapshotLoad(Path root, ObjectNode result)
            throws IOException, InvalidConfigurationException {
        Map<String, String> chunks = new TreeMap<>();
        Map<String, String> documents = new TreeMap<>();
        long bytes = 0;
        try (Stream<Path> folders = Files.list(root)) {
            for (Path folder : folders.toList()) {
                String text = Files.readString(folder.resolve("toucanlane.json"), StandardCharsets.UTF_8);
                ServiceDocument document = ServiceDocument.parse(folder.toString(), text);
                documents.put(document.name(), document.contentHash());
                chunks.put(document.contentHash(), text);
                bytes += text.length();
            }
        }
        byte[] manifest = new Manifest(documents, Map.of()).encode();
        ConfigurationSnapshot snapshot = ConfigurationSnapshot.load(1, manifest, Optional.empty(), chunks::get);
        String changedHash = documents.get("accounts-0");
        long[] nanos = new long[LOAD_ROUNDS];
        for (int i = 0; i < LOAD_ROUNDS; i++) {
            String text = chunks.get(changedHash) + ' ';
            changedHash = ServiceDocument.parse("changed", text).contentHash();
            chunks.put(changedHash, text);
            documents.put("accounts-0", changedHash);
            byte[] nextManifest = new Manifest(documents, Map.of()).encode();
            long started = System.nanoTime();
            snapshot = ConfigurationSnapshot.load(i + 2L, nextManifest, Optional.of(snapshot), chunks::get);
            nanos[i] = System.nanoTime() - started;
        }
        Arrays.sort(nanos);
        result.put("documents", documents.size()).put("document_bytes", bytes).put("manifest_bytes", manifest.length);
        result.put("bring_one_changed_document_into_force_median_ms", nanos[LOAD_ROUNDS / 2] / 1e6);
        return snapshot;
    }

    private static void measureAdmission(ShareTable table, ObjectNode row) throws InterruptedException {
        String account = table.accounts().iterator().next();
        String holder = table.holders(account).get(0).host();
        ShareLedger ledger = ShareLedger.builder()
                .self(holder, table.holders(account).get(0).dataCentre(), 1)
                .transport(LoanTransport.disconnected())
                .terms(new LoanTerms(Duration.ofNanos(1), Duration.ZERO, Duration.ZERO, 0))
                .build();
        ledger.apply(table, Map.of());
        TimeUnit.SECONDS.sleep(3);
        long[] nanos = new long[CALLS];
        int admitted = 0;
        for (int i = 0; i < CALLS; i++) {
            long started = System.nanoTime();
            try {
                ledger.admit(account, 1).settle(0);
                admitted++;
            } catch (InsufficientTokensException ignored) {
                // A rejection is also an admission decision, so its time counts.
            }
            nanos[i] = System.nanoTime() - started;
        }
        Arrays.sort(nanos);
        row.put("p50_us", nanos[CALLS / 2] / 1e3).put("p99_us", nanos[CALLS * 99 / 100] / 1e3);
        row.put("share_admitted", admitted / (double) CALLS);
    }

    private static void measureSelection(int candidates, long seed, ObjectNode row) {
        Random random = new Random(seed);
        List<EndpointView> views = new ArrayList<>();
        for (int i = 0; i < candidates; i++) {
            views.add(EndpointView.of("endpoint-" + i, 8, random.nextInt(4), random.nextInt(4), true));
        }
        EndpointSelector selector = EndpointSelector.withBalanceFactor(1.25);
        int calls = CALLS / 10;
        long[] nanos = new long[calls];
        for (int i = 0; i < calls; i++) {
            long started = System.nanoTime();
            selector.select(views, "prompt-" + i % 100, Set.of(), random);
            nanos[i] = System.nanoTime() - started;
        }
        Arrays.sort(nanos);
        row.put("p50_us", nanos[calls / 2] / 1e3).put("p99_us", nanos[calls * 99 / 100] / 1e3);
    }

    private static void measureQueue(ObjectNode row) {
        WaitingQueue<Integer> queue = new WaitingQueue<>(2 * WAITING);
        PlaceEstimate estimate = new PlaceEstimate(Duration.ZERO, Duration.ZERO, Duration.ofSeconds(1));
        Duration objective = Duration.ofMinutes(1);
        int calls = CALLS / 10;
        long[] nanos = new long[calls];
        for (int i = -WAITING; i < calls; i++) {
            long started = System.nanoTime();
            WaitingRequest request = new WaitingRequest(
                    i & 3, started, objective, started + objective.toNanos(), i & 1023, "account-" + i % 16, 10_000);
            queue.offer(request, i, estimate, started);
            if (i >= 0) {
                queue.recordFreedPlace(started);
                queue.first(1).forEach(queue::recordSent);
                nanos[i] = System.nanoTime() - started;
            }
        }
        Arrays.sort(nanos);
        row.put("p50_us", nanos[calls / 2] / 1e3).put("p99_us", nanos[calls * 99 / 100] / 1e3);
        for (int i = 0; i < calls; i++) {
            long started = System.nanoTime();
            queue.expire(started);
            nanos[i] = System.nanoTime() - started;
        }
        Arrays.sort(nanos);
        row.put("expire_p99_us", nanos[calls * 99 / 100] / 1e3).put("waiting", queue.size());
    }
}
