package org.toucanlane.edge.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;
import org.toucanlane.edge.TestFixtures;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.fleet.HostHandle;
import org.toucanlane.edge.fleet.HostRecord;
import org.toucanlane.edge.telemetry.DecisionLog;
import org.toucanlane.policy.quarantine.CrashEvidence;
import org.toucanlane.policy.quarantine.SegmentQuarantine;

class CrashExchangeTest {

    private static final long START = Duration.ofHours(1).toNanos();
    private static final String SEGMENT = "m/crashing";

    /** Crashes after which each host must know the segment. */
    private static final int CRASHES = 5;

    private static final Duration CRASH_INTERVAL = Duration.ofMillis(400);

    private static final long LAST_CRASH = START + CRASHES * CRASH_INTERVAL.toNanos();

    /** Time in which all hosts must learn of the last crash. */
    private static final Duration LEARNING_TIME = Duration.ofSeconds(2);

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final DecisionLog log = new DecisionLog("crash-exchange-test");
    private final Fleet fleet = new Fleet(loops.next(), log, "observer", Map.of());
    private final ListAppender<ILoggingEvent> events = new ListAppender<>();

    @BeforeEach
    void recordEvents() {
        events.start();
        logger().addAppender(events);
    }

    @AfterEach
    void stop() {
        logger().detachAppender(events);
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void sendsNothingWithoutEvidence() {
        Node node = new Node(TestFixtures.host("a", "south"));
        for (int round = 0; round < 50; round++) {
            assertThat(node.exchange.nextDatagrams(START + round * 100_000_000L))
                    .isEmpty();
        }
    }

    @Test
    void mergesTheEvidenceOfOtherHosts() throws Exception {
        Node sender = register(TestFixtures.host("a", "south"));
        Node receiver = register(TestFixtures.host("b", "south"));
        long now = recordCrashes(sender, START);
        for (byte[] datagram : sender.exchange.nextDatagrams(now)) {
            receiver.exchange.receive(CrashReport.decode(datagram), now);
        }
        assertThat(receiver.quarantine.quarantined(now)).containsExactly(SEGMENT);
        assertThat(receiver.exchange.nextDatagrams(now)).as("passed on").isNotEmpty();
    }

    @Test
    void ignoresTheEvidenceOfUnknownHostsAndFormerProcesses() {
        Node sender = new Node(TestFixtures.host("a", "south"));
        Node receiver = register(TestFixtures.host("b", "south"));
        long now = recordCrashes(sender, START);
        CrashEvidence evidence = sender.quarantine.nextEvidence(now);
        int tag = HostHandle.tagOf("a");
        receiver.exchange.receive(new CrashReport(tag, 1, evidence), now);
        assertThat(receiver.exchange.nextDatagrams(now)).as("unknown host").isEmpty();
        fleet.hostChanged("a", Optional.of(new HostRecord("a", "south", "south", "127.0.0.1", 1, 2, 3, 2, 1)));
        receiver.exchange.receive(new CrashReport(tag, 1, evidence), now);
        assertThat(receiver.exchange.nextDatagrams(now)).as("former process").isEmpty();
        receiver.exchange.receive(new CrashReport(tag, 2, evidence), now);
        assertThat(receiver.exchange.nextDatagrams(now)).as("present process").isNotEmpty();
    }

    @Test
    void omitsEvidenceThatFitsIntoNoDatagram() {
        Node node = new Node(TestFixtures.host("a", "south"));
        node.quarantine.recordCrash(1, List.of(List.of("m/" + "x".repeat(CrashExchange.MAX_DATAGRAM_BYTES))), START);
        assertThat(node.exchange.nextDatagrams(START)).isEmpty();
        assertThat(kinds()).containsExactly("crash_report_too_large");
    }

    @Test
    void logsEachSegmentThatEntersOrLeavesTheQuarantineOnce() {
        Node node = new Node(TestFixtures.host("a", "south"));
        node.exchange.logChanges(START);
        assertThat(events.list).isEmpty();
        long now = recordCrashes(node, START);
        node.exchange.logChanges(now);
        node.exchange.logChanges(now);
        assertThat(kinds()).containsExactly("segment_quarantined");
        node.quarantine.recordSurvival(List.of(SEGMENT), now + 1);
        node.exchange.logChanges(now + 1);
        node.exchange.logChanges(now + 2);
        assertThat(kinds()).containsExactly("segment_quarantined", "segment_released");
        assertThat(events.list)
                .allSatisfy(event -> assertThat(event.getKeyValuePairs())
                        .singleElement()
                        .satisfies(field -> {
                            assertThat(field.key).isEqualTo("segment");
                            assertThat(field.value).isEqualTo(SEGMENT);
                        }));
    }

    @Test
    void reachesAllHostsOfThreeRegionsDespiteLostDatagrams() throws Exception {
        for (int seed = 1; seed <= 20; seed++) {
            Network network = new Network(seed, 0.25, routes -> false);
            network.runUntil(LAST_CRASH + LEARNING_TIME.toNanos());
            assertThat(network.unaware()).as("seed %s", seed).isEmpty();
        }
    }

    @Test
    void reachesAllHostsWhileOneRelayOfEachRegionIsSilent() throws Exception {
        for (int seed = 1; seed <= 20; seed++) {
            Network network = new Network(seed, 0.1, routes -> routes.turn() == 0);
            network.runUntil(LAST_CRASH + LEARNING_TIME.toNanos());
            assertThat(network.unaware()).as("seed %s", seed).isEmpty();
        }
    }

    /** Evidence that comes back late must not look new, or hosts would pass it on forever. */
    @Test
    void evidenceIsNewToEachHostForABoundedTime() throws Exception {
        Network network = new Network(7, 0, routes -> false);
        long learned = LAST_CRASH + LEARNING_TIME.toNanos();
        network.runUntil(learned + Duration.ofMinutes(1).toNanos());
        assertThat(network.nodes).allSatisfy(node -> assertThat(node.latestNews).isBetween(START, learned));
    }

    private Node register(HostRecord host) {
        fleet.hostChanged(host.name(), Optional.of(host));
        events.list.clear();
        return new Node(host);
    }

    private static long recordCrashes(Node node, long start) {
        long now = start;
        for (int i = 0; i < CRASHES; i++) {
            now += CRASH_INTERVAL.toNanos();
            node.recordCrash(i, now);
        }
        return now;
    }

    private List<String> kinds() {
        return events.list.stream().map(ILoggingEvent::getMessage).toList();
    }

    private static Logger logger() {
        return (Logger) LoggerFactory.getLogger("crash-exchange-test");
    }

    /** A host's part of the exchange. */
    private final class Node {

        private final HostRecord host;
        private final SegmentQuarantine quarantine;
        private final SegmentQuarantine evidenceOfOthers;
        private final CrashExchange exchange;
        private final Set<Integer> crashes = new HashSet<>();
        private long latestNews;

        Node(HostRecord host) {
            this.host = host;
            this.quarantine = new SegmentQuarantine(host.name());
            this.evidenceOfOthers = new SegmentQuarantine(host.name());
            this.exchange = new CrashExchange(fleet, log, host, quarantine);
        }

        void recordCrash(int endpoint, long now) {
            quarantine.recordCrash(endpoint, List.of(List.of(SEGMENT)), now);
            crashes.add(endpoint);
        }

        void receive(byte[] datagram, long now) throws IOException {
            CrashReport report = CrashReport.decode(datagram);
            report.evidence().crashes().forEach(crash -> crashes.add(crash.endpoint()));
            latestNews = evidenceOfOthers.merge(report.evidence(), now) ? now : latestNews;
            exchange.receive(report, now);
        }
    }

    /** Three regions whose datagrams are delayed and lost at random. A silent host neither sends nor receives. */
    private final class Network {

        private static final long ROUND_NANOS = 200_000_000L;
        private static final long MAX_DELAY_NANOS = 110_000_000L;

        private final Random random;
        private final double lossRate;
        private final Map<String, Node> nodesByName = new LinkedHashMap<>();
        private final List<Node> nodes = new ArrayList<>();
        private final PriorityQueue<Event> queue = new PriorityQueue<>(Comparator.comparingLong(Event::time));

        Network(int seed, double lossRate, Predicate<ReportRoutes> silent) {
            this.random = new Random(seed);
            this.lossRate = lossRate;
            List<HostRecord> hosts = Stream.of("south 9", "north 8", "east 3")
                    .map(region -> region.split(" "))
                    .flatMap(region -> IntStream.range(0, Integer.parseInt(region[1]))
                            .mapToObj(i -> TestFixtures.host(region[0] + i, region[0])))
                    .toList();
            hosts.forEach(host -> {
                Node node = register(host);
                ReportRoutes routes = ReportRoutes.of(
                        host, hosts.stream().filter(other -> other != host).toList());
                if (!silent.test(routes)) {
                    nodes.add(node);
                    nodesByName.put(host.name(), node);
                    schedule(START + random.nextInt((int) ROUND_NANOS), now -> runRound(node, routes, now));
                }
            });
            for (int i = 1; i <= CRASHES; i++) {
                int endpoint = i;
                Node witness = nodes.get(random.nextInt(nodes.size()));
                schedule(START + i * CRASH_INTERVAL.toNanos(), now -> witness.recordCrash(endpoint, now));
            }
        }

        private void schedule(long time, Action action) {
            queue.add(new Event(time, action));
        }

        private void runRound(Node sender, ReportRoutes routes, long now) {
            List<byte[]> datagrams = sender.exchange.nextDatagrams(now);
            routes.allReceivers().forEach(host -> datagrams.forEach(bytes -> send(bytes, host, now)));
            schedule(now + ROUND_NANOS, next -> runRound(sender, routes, next));
        }

        private void send(byte[] bytes, HostRecord host, long now) {
            Node receiver = nodesByName.get(host.name());
            if (receiver != null && random.nextDouble() >= lossRate) {
                schedule(now + random.nextInt((int) MAX_DELAY_NANOS), time -> receiver.receive(bytes, time));
            }
        }

        void runUntil(long end) throws IOException {
            while (queue.peek().time() <= end) {
                Event event = queue.poll();
                event.action().run(event.time());
            }
        }

        /** Returns the hosts that do not know all crashes, or do not have the segment in quarantine. */
        List<String> unaware() {
            long now = LAST_CRASH + LEARNING_TIME.toNanos();
            return nodes.stream()
                    .filter(node -> node.crashes.size() < CRASHES
                            || !node.quarantine.quarantined(now).contains(SEGMENT))
                    .map(node -> node.host.name())
                    .toList();
        }
    }

    private record Event(long time, Action action) {}

    /** Runs at a simulated time. */
    private interface Action {
        void run(long now) throws IOException;
    }
}
