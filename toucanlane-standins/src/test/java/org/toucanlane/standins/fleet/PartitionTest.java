package org.toucanlane.standins.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests with real processes that are partitioned from each other or from the platform. */
class PartitionTest {

    private static final int TOKENS_PER_REQUEST = 100;

    @TempDir
    private static Path work;

    private static FleetFixture fleet;

    @BeforeAll
    static void start() throws IOException, InterruptedException {
        fleet = FleetFixture.start(work);
    }

    @AfterAll
    static void stop() {
        fleet.close();
    }

    private static boolean serves(HostProcess host, String key) {
        try {
            return fleet.sendChat(host, key, 1).statusCode() == 200;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Returns whether {@code host} rejects a request with the error {@code type}. Until the host detects the partition,
     * it may report instead that the token holders of the limit do not respond. That request must not have run either.
     */
    private static boolean isRejectedWith(String type, HostProcess host) {
        try {
            HttpResponse<String> response = fleet.sendChat(host, fleet.southernKey(), 1);
            assertThat(response.statusCode()).isNotEqualTo(200);
            assertThat(FleetFixture.error(response).path("ran").asText()).isEqualTo("not_run");
            return FleetFixture.error(response).path("type").asText().equals(type);
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private static void setPartitioned(boolean partitioned) {
        fleet.deployment().proxy().setPartitioned(FleetFixture.NORTH, FleetFixture.SOUTH, partitioned);
    }

    @Test
    void isolatedDataCentreServesLocalRequestsAndReportsOthersAsNotRun() throws IOException, InterruptedException {
        HostProcess north = fleet.host("n1");
        assertThat(fleet.sendChat(north, fleet.southernKey(), 1).statusCode()).isEqualTo(200);
        setPartitioned(true);
        try {
            Deployment.await("the partition to be detected", () -> isRejectedWith("residency_unreachable", north));
            HttpResponse<String> rejected = fleet.sendChat(north, fleet.southernKey(), 1);
            assertThat(FleetFixture.error(rejected).path("ran").asText()).isEqualTo("not_run");
            assertThat(rejected.headers().firstValue("Retry-After")).isPresent();
            assertThat(serves(north, fleet.bigKey())).isTrue();
            assertThat(serves(fleet.host("s1"), fleet.southernKey())).isTrue();
        } finally {
            setPartitioned(false);
        }
        Deployment.await("the partition to heal", () -> serves(north, fleet.southernKey()));
    }

    @Test
    void oneWayLossIsDetectedAndRecovers() throws InterruptedException {
        HostProcess north = fleet.host("n1");
        fleet.deployment().proxy().setPartitionedOneWay(FleetFixture.NORTH, FleetFixture.SOUTH, true);
        try {
            Deployment.await(
                    "the loss to be detected", () -> rejectionType(north).equals("residency_unreachable"));
            assertThat(serves(north, fleet.bigKey())).isTrue();
        } finally {
            fleet.deployment().proxy().setPartitionedOneWay(FleetFixture.NORTH, FleetFixture.SOUTH, false);
        }
        Deployment.await("the host to recover from the loss", () -> serves(north, fleet.southernKey()));
    }

    private static String rejectionType(HostProcess host) {
        try {
            HttpResponse<String> response = fleet.sendChat(host, fleet.southernKey(), 1);
            assertThat(response.statusCode()).isNotEqualTo(200);
            return FleetFixture.error(response).path("type").asText();
        } catch (IOException e) {
            return "no answer";
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "interrupted";
        }
    }

    @Test
    void bothSidesOfPartitionTogetherKeepRateLimit() throws Exception {
        setPartitioned(true);
        try {
            Deployment.await("the partition to be detected", () -> !serves(fleet.host("n1"), fleet.southernKey()));
            assertWithinLimit(5);
        } finally {
            setPartitioned(false);
        }
        Deployment.await("the partition to heal", () -> serves(fleet.host("n1"), fleet.southernKey()));
    }

    @Test
    void restartedTokenHolderCreatesNoTokens() throws Exception {
        HostProcess host = fleet.host("s2");
        host.kill();
        host.start();
        Deployment.await("the host to serve requests again", () -> serves(host, fleet.bigKey()));
        fleet.deployment().awaitReady();
        assertWithinLimit(5);
    }

    /** Saturates one account at all hosts and checks the admitted tokens against its rate and burst. */
    private static void assertWithinLimit(int seconds) throws Exception {
        long admitted = 0;
        ExecutorService callers = Executors.newCachedThreadPool();
        long started = System.nanoTime();
        try {
            List<Callable<Long>> tasks = fleet.deployment().hosts().values().stream()
                    .<Callable<Long>>map(host -> () -> flood(host, started + seconds * 1_000_000_000L))
                    .toList();
            for (Future<Long> result : callers.invokeAll(tasks)) {
                admitted += result.get();
            }
        } finally {
            callers.shutdownNow();
        }
        double elapsed = (System.nanoTime() - started) / 1e9;
        assertThat(admitted).as("admitted tokens in %s s", elapsed).isLessThanOrEqualTo((long) (200 * elapsed + 1000));
        assertThat(admitted).as("admitted tokens").isPositive();
    }

    private static long flood(HostProcess host, long until) throws IOException, InterruptedException {
        long admitted = 0;
        while (System.nanoTime() < until) {
            HttpResponse<String> response = fleet.sendChat(host, fleet.limitedKey(), TOKENS_PER_REQUEST);
            if (response.statusCode() == 200) {
                admitted += TOKENS_PER_REQUEST;
            } else {
                assertThat(FleetFixture.error(response).path("type").asText())
                        .isIn("rate_limited", "limit_unreachable");
                assertThat(FleetFixture.error(response).path("ran").asText()).isEqualTo("not_run");
            }
        }
        return admitted;
    }

    @Test
    void storeOutageAllowsRequestsButNotOneTimeActions() throws Exception {
        fleet.setPlatformFaults("{\"down\":true}");
        try {
            assertThat(serves(fleet.host("n1"), fleet.bigKey())).isTrue();
            HttpResponse<String> action = fleet.sendAction(
                    fleet.host("n1"), "during-outage", UUID.randomUUID().toString());
            assertThat(FleetFixture.error(action).path("type").asText()).isEqualTo("claim_unavailable");
            assertThat(fleet.actionRuns("during-outage")).isZero();
            HostProcess restarted = fleet.host("n2");
            restarted.kill();
            restarted.start();
            Deployment.await("the host to load the configuration from a peer", () -> {
                try {
                    return fleet.deployment()
                                    .get(restarted.callerUri().resolve("/health/ready"))
                                    .statusCode()
                            == 200;
                } catch (IOException e) {
                    return false;
                }
            });
        } finally {
            fleet.setPlatformFaults("{\"down\":false}");
        }
    }
}
