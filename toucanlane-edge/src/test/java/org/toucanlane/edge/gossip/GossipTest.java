package org.toucanlane.edge.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.util.concurrent.Uninterruptibles;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.SocketException;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.toucanlane.coordination.store.AsyncStore;
import org.toucanlane.coordination.store.StoreChanges;
import org.toucanlane.coordination.store.StoreLease;
import org.toucanlane.coordination.store.StorePage;
import org.toucanlane.coordination.store.StoreRevision;
import org.toucanlane.coordination.store.StoreTransaction;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.fleet.HostHandle;
import org.toucanlane.edge.fleet.HostRecord;
import org.toucanlane.edge.limit.AccountLimiter;
import org.toucanlane.edge.state.FreshnessLease;
import org.toucanlane.edge.state.StoreListener;
import org.toucanlane.edge.state.StoreMirror;
import org.toucanlane.edge.telemetry.DecisionLog;
import org.toucanlane.policy.overload.LoopClock;
import org.toucanlane.policy.overload.SilenceAllowance;
import org.toucanlane.policy.quarantine.SegmentQuarantine;

/** Runs hosts whose reports are sent over loopback, beside a socket that plays a host of the previous version. */
class GossipTest {

    private static final String SEGMENT = "m/crashing";
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int MAX_DATAGRAM_BYTES = 65_535;
    private static final int CRASHES = 5;

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();
    private DatagramSocket previousVersion;
    private Node first;
    private Node second;

    @BeforeEach
    void startHosts() throws Exception {
        previousVersion = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        previousVersion.setSoTimeout(TIMEOUT_MILLIS);
        List<HostRecord> hosts = List.of(
                host("first", "south", freePort()),
                host("second", "north", freePort()),
                host("previous", "south", previousVersion.getLocalPort()));
        first = callOnLoop(() -> new Node(hosts.get(0), hosts));
        second = callOnLoop(() -> new Node(hosts.get(1), hosts));
        first.gossip.start(first.limiter);
        second.gossip.start(second.limiter);
    }

    @AfterEach
    void stop() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        previousVersion.close();
    }

    @Test
    void otherRegionsLearnOfCrashes() throws Exception {
        recordCrashes(first.quarantine, List.of(SEGMENT));
        awaitQuarantined(second, SEGMENT);
    }

    @Test
    void receivesACrashThatNeedsALargeDatagram() throws Exception {
        String id = "m/" + "x".repeat(6_000);
        recordCrashes(first.quarantine, List.of(id));
        awaitQuarantined(second, id);
    }

    @Test
    void sendsOnlyLoadReportsWithoutEvidence() throws Exception {
        for (int i = 0; i < 10; i++) {
            assertThat(FleetReport.decode(receive()).header().host()).isNotZero();
        }
    }

    /** A host of the previous version must go on getting the load of others during a rolling restart. */
    @Test
    void sendsLoadReportsOfThePreviousFormatBesideEvidence() throws Exception {
        recordCrashes(first.quarantine, List.of(SEGMENT));
        long newestRound = 0;
        int crashReports = 0;
        int loadReports = 0;
        while (crashReports < 3 || loadReports < 3) {
            byte[] bytes = receive();
            if (CrashReport.isCrashReport(bytes)) {
                crashReports++;
            } else {
                FleetReport report = FleetReport.decode(bytes);
                assertThat(report.header().round()).isGreaterThanOrEqualTo(newestRound);
                newestRound = report.header().round();
                loadReports++;
            }
        }
    }

    /** Regression test: a host that had stalled took all others for silent. */
    @Test
    void doesNotTakeOthersForSilentBecauseOfItsOwnStall() throws Exception {
        callOnLoop(() -> {
            HostHandle other = first.fleet.host("previous").orElseThrow();
            long now = System.nanoTime();
            long lastReport = now - Duration.ofSeconds(4).toNanos();
            other.recordReport(lastReport);
            assertThat(first.gossip.isAlive(other)).isFalse();
            first.pass(lastReport);
            first.pass(now);
            assertThat(first.gossip.isAlive(other)).isTrue();
            return null;
        });
    }

    /** A host that doesn't report is silent, however often this host stalls. */
    @Test
    void ownStallsHideASilentHostForNoMoreThanASecond() throws Exception {
        callOnLoop(() -> {
            HostHandle other = first.fleet.host("previous").orElseThrow();
            long now = System.nanoTime();
            for (int stalls = 10; stalls >= 0; stalls--) {
                first.pass(now - stalls * Duration.ofMillis(400).toNanos());
            }
            other.recordReport(now - Duration.ofMillis(3_050).toNanos());
            assertThat(first.gossip.isAlive(other)).isFalse();
            other.recordReport(now - Duration.ofMillis(2_500).toNanos());
            assertThat(first.gossip.isAlive(other)).isTrue();
            return null;
        });
    }

    /** A host that had no time to send doesn't send all that it has missed. */
    @Test
    void doesNotMakeUpForRoundsThatItHasMissed() throws Exception {
        receive();
        callOnLoop(() -> {
            Uninterruptibles.sleepUninterruptibly(Duration.ofSeconds(1));
            return null;
        });
        long firstRound = FleetReport.decode(receive()).header().round();
        long ended = System.nanoTime();
        long round = firstRound;
        while (System.nanoTime() - ended < Duration.ofMillis(50).toNanos()) {
            round = FleetReport.decode(receive()).header().round();
        }
        assertThat(round - firstRound).isLessThanOrEqualTo(3);
    }

    private byte[] receive() throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[MAX_DATAGRAM_BYTES], MAX_DATAGRAM_BYTES);
        previousVersion.receive(packet);
        return Arrays.copyOf(packet.getData(), packet.getLength());
    }

    private void recordCrashes(SegmentQuarantine quarantine, List<String> suspect) throws Exception {
        callOnLoop(() -> {
            long now = System.nanoTime();
            for (int i = CRASHES; i > 0; i--) {
                quarantine.recordCrash(
                        i, List.of(suspect), now - i * Duration.ofMillis(400).toNanos());
            }
            return null;
        });
    }

    private void awaitQuarantined(Node node, String segment) throws Exception {
        CompletableFuture<Void> quarantined = new CompletableFuture<>();
        loop.scheduleAtFixedRate(
                () -> {
                    if (node.quarantine.quarantined(System.nanoTime()).contains(segment)) {
                        quarantined.complete(null);
                    }
                },
                0,
                10,
                TimeUnit.MILLISECONDS);
        quarantined.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private <T> T callOnLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static HostRecord host(String name, String region, int gossipPort) {
        return new HostRecord(name, region, region, "127.0.0.1", 1, 2, gossipPort, 1, 1);
    }

    private static int freePort() throws SocketException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** The parts of a host that exchange reports. */
    private final class Node {

        private final LoopClock clock =
                new LoopClock(System.nanoTime() - Duration.ofMinutes(1).toNanos());
        private final SegmentQuarantine quarantine;
        private final Fleet fleet;
        private final Gossip gossip;
        private final AccountLimiter limiter;

        Node(HostRecord self, List<HostRecord> hosts) {
            DecisionLog log = new DecisionLog(self.name());
            this.fleet = new Fleet(loop, log, self.name(), Map.of());
            hosts.forEach(host -> fleet.hostChanged(host.name(), Optional.of(host)));
            FreshnessLease freshness =
                    new FreshnessLease(System::nanoTime, System::currentTimeMillis, Duration.ofSeconds(30));
            StoreMirror mirror = new StoreMirror(
                    new UnusedStore(), loop, freshness, log, new UnusedListener(), "era", Duration.ofSeconds(1));
            this.quarantine = new SegmentQuarantine(self.name());
            this.gossip = new Gossip(loop, fleet, log, self, mirror, quarantine, new SilenceAllowance(clock));
            this.limiter = new AccountLimiter(System::nanoTime, gossip);
        }

        /** Has the host read at {@code now}, after it was busy since its pass before. */
        private void pass(long now) {
            clock.beginPass(now, false, now);
            clock.foundInput(now);
            clock.endPass(now);
        }
    }

    /** A listener without calls, since the mirror is not started. */
    private static final class UnusedListener implements StoreListener {

        @Override
        public void changed(String key, Optional<byte[]> value) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void synced() {
            throw new UnsupportedOperationException();
        }

        @Override
        public void reachabilityChanged(boolean nowReachable) {
            throw new UnsupportedOperationException();
        }
    }

    /** A store that is never read, since the mirror is not started. */
    private static final class UnusedStore implements AsyncStore {

        @Override
        public void setEraListener(LongConsumer listener) {
            // There are no eras.
        }

        @Override
        public CompletableFuture<StorePage> range(String prefix, String after) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<StoreChanges> watch(String prefix, long revision, Duration wait) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<StoreRevision> commit(StoreTransaction transaction) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<StoreLease> grantLease(Duration timeToLive) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<StoreLease> renewLease(long lease) {
            throw new UnsupportedOperationException();
        }
    }
}
