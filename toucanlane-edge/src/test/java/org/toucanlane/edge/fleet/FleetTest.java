package org.toucanlane.edge.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.toucanlane.domain.serving.CallerLimits;
import org.toucanlane.domain.serving.EndpointRegistration.State;
import org.toucanlane.domain.serving.ServingConfiguration;
import org.toucanlane.domain.serving.ServingService;
import org.toucanlane.edge.TestFixtures;
import org.toucanlane.edge.telemetry.DecisionLog;

class FleetTest {

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();
    private final Fleet fleet = new Fleet(loop, new DecisionLog("test"), "self", Map.of("z", "r"));

    @AfterEach
    void stop() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void removesAnEndpointThatDrainsOrWhoseEntryIsRemoved() {
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "s", "z", State.READY, 1)));
        EndpointHandle handle = fleet.endpoint("e").orElseThrow();
        assertThat(handle.isUsable(System.nanoTime())).isTrue();
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "s", "z", State.DRAINING, 1)));
        assertThat(handle.isUsable(System.nanoTime())).isFalse();
        fleet.endpointChanged("e", Optional.empty());
        assertThat(fleet.endpointsOf("s")).isEmpty();
    }

    @Test
    void createsANewHandleForALaterProcessWithTheSameId() {
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "s", "z", State.DRAINING, 1)));
        EndpointHandle first = fleet.endpoint("e").orElseThrow();
        first.recordCached(List.of(new PromptSegment("p", 100)));
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "s", "z", State.READY, 2)));
        EndpointHandle second = fleet.endpoint("e").orElseThrow();
        assertThat(second).isNotSameAs(first);
        assertThat(second.isUsable(System.nanoTime())).isTrue();
        assertThat(second.cachedTokensOf(List.of(new PromptSegment("p", 100)))).isZero();
        assertThat(first.isUsable(System.nanoTime())).isFalse();
    }

    /** Callers that send a new segment with each request took memory without end, as empty segments never exceeded it. */
    @Test
    void assumesABoundedNumberOfCachedSegments() {
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "s", "z", State.READY, 1)));
        EndpointHandle handle = fleet.endpoint("e").orElseThrow();
        handle.setMemoryTokens(1_000_000);
        handle.recordCached(List.of(new PromptSegment("first", 1)));
        for (int i = 0; i < EndpointHandle.MAX_CACHED_SEGMENTS; i++) {
            handle.recordCached(List.of(new PromptSegment("empty" + i, 0)));
        }
        assertThat(handle.cachedTokensOf(List.of(new PromptSegment("first", 1))))
                .isEqualTo(1);
        for (int i = 0; i < EndpointHandle.MAX_CACHED_SEGMENTS; i++) {
            handle.recordCached(List.of(new PromptSegment("short" + i, 1)));
        }
        assertThat(handle.cachedTokensOf(List.of(new PromptSegment("first", 1))))
                .isZero();
        assertThat(handle.cachedTokensOf(List.of(new PromptSegment("empty", 0), new PromptSegment("short9", 1))))
                .isEqualTo(1);
    }

    @Test
    void movesAnEndpointToItsNewService() {
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "s", "z", State.READY, 1)));
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "t", "z", State.READY, 1)));
        assertThat(fleet.endpointsOf("s")).isEmpty();
        assertThat(fleet.endpointsOf("t")).hasSize(1);
    }

    @Test
    void keepsAnEndpointDuringTheGracePeriodAfterAnOutage() {
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "s", "z", State.READY, 1)));
        fleet.storeRecovered(System.nanoTime());
        fleet.endpointChanged("e", Optional.empty());
        assertThat(fleet.endpoint("e")).isPresent();
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "s", "z", State.READY, 1)));
        assertThat(fleet.endpoint("e").orElseThrow().isUsable(System.nanoTime()))
                .isTrue();
    }

    @Test
    void removesADrainingEndpointImmediatelyEvenAfterAnOutage() {
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "s", "z", State.DRAINING, 1)));
        fleet.storeRecovered(System.nanoTime());
        fleet.endpointChanged("e", Optional.empty());
        assertThat(fleet.endpoint("e")).isEmpty();
    }

    @Test
    void treatsEndpointsAsColdAfterAnEvacuation() {
        ServingService service = new ServingService("s", "/h", 10, Duration.ofSeconds(3), 5, Optional.empty());
        fleet.configurationChanged(
                ServingConfiguration.of(1, List.of(), List.of(service), Map.of(), List.of(), CallerLimits.DEFAULT));
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "s", "z", State.READY, 1)));
        EndpointHandle handle = fleet.endpoint("e").orElseThrow();
        assertThat(handle.isCold(System.nanoTime())).isFalse();
        fleet.evacuationChanged("z", true);
        assertThat(fleet.isEvacuated("z")).isTrue();
        fleet.evacuationChanged("z", false);
        assertThat(fleet.isEvacuated("z")).isFalse();
        assertThat(handle.isCold(System.nanoTime())).isTrue();
    }

    @Test
    void ignoresAnOlderConfiguration() {
        fleet.configurationChanged(
                ServingConfiguration.of(7, List.of(), List.of(), Map.of(), List.of(), CallerLimits.DEFAULT));
        fleet.configurationChanged(
                ServingConfiguration.of(6, List.of(), List.of(), Map.of(), List.of(), CallerLimits.DEFAULT));
        assertThat(fleet.configuration().orElseThrow().version()).isEqualTo(7);
    }

    /**
     * Guards against preferring a crashed endpoint: once its own region stopped using it, it looked idle and therefore
     * fastest from other regions.
     */
    @Test
    void isUnusableElsewhereWhenAnotherHostReportsItUnusable() {
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "s", "z", State.READY, 1)));
        EndpointHandle handle = fleet.endpoint("e").orElseThrow();
        assertThat(handle.isUsableElsewhere(System.nanoTime())).isTrue();
        handle.updateRemoteUsage("neighbour", new EndpointUsage(0, 0, 0, false, 1, 1), System.nanoTime());
        assertThat(handle.isUsableElsewhere(System.nanoTime())).isFalse();
        handle.removeRemoteUsage("neighbour");
        assertThat(handle.isUsableElsewhere(System.nanoTime())).isTrue();
    }

    @Test
    void sumsTheUsageOfAllHosts() {
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "s", "z", State.READY, 1)));
        EndpointHandle handle = fleet.endpoint("e").orElseThrow();
        Reservation own = new Reservation(handle, List.of(), 100, 300, 50);
        handle.updateRemoteUsage("neighbour", new EndpointUsage(2, 1_000, 4_000, true, 1, 1), System.nanoTime());
        assertThat(handle.load(System.nanoTime()).running()).isEqualTo(3);
        assertThat(handle.load(System.nanoTime()).pendingPromptTokens()).isEqualTo(1_100);
        own.recordFirstResponse();
        assertThat(handle.load(System.nanoTime()).pendingPromptTokens()).isEqualTo(1_000);
        own.end(Reservation.Outcome.COMPLETE);
        own.end(Reservation.Outcome.COMPLETE);
        assertThat(handle.load(System.nanoTime()).running()).isEqualTo(2);
        assertThat(handle.load(System.nanoTime()).usedKvTokens()).isEqualTo(4_000);
    }

    @Test
    void ignoresAProcessThatHadAnnouncedItsShutdownWhenItsEntryComesBack() {
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "s", "z", State.READY, 5)));
        fleet.endpoint("e").orElseThrow().drain();
        fleet.endpointChanged("e", Optional.empty());
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "s", "z", State.READY, 5)));
        assertThat(fleet.endpoint("e")).isEmpty();
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "s", "z", State.READY, 6)));
        assertThat(fleet.endpoint("e")).isPresent();
    }

    @Test
    void ignoresTheEntryOfAnEarlierProcess() {
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "s", "z", State.READY, 6)));
        EndpointHandle later = fleet.endpoint("e").orElseThrow();
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "s", "z", State.READY, 5)));
        assertThat(fleet.endpoint("e")).contains(later);
        fleet.endpointChanged("e", Optional.empty());
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "s", "z", State.READY, 5)));
        assertThat(fleet.endpoint("e")).isEmpty();
    }

    /** An entry that lapsed comes back at once, unless it comes back with a restored store. */
    @Test
    void holdsBackAnEntryThatComesBackWithARestoredStore() {
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "s", "z", State.READY, 5)));
        fleet.endpointChanged("e", Optional.empty());
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "s", "z", State.READY, 5)));
        assertThat(fleet.endpoint("e")).isPresent();
        fleet.endpointChanged("e", Optional.empty());
        fleet.storeRestored(System.nanoTime());
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "s", "z", State.READY, 5)));
        assertThat(fleet.endpoint("e")).isEmpty();
    }

    @Test
    void keepsTheLaterProcessOfAHostInARestoredStore() {
        HostRecord later = new HostRecord("h", "z", "z", "127.0.0.1", 1, 2, 3, 9, 1);
        HostRecord earlier = new HostRecord("h", "z", "z", "127.0.0.1", 1, 2, 3, 8, 1);
        fleet.hostChanged("h", Optional.of(later));
        fleet.storeRestored(System.nanoTime());
        fleet.hostChanged("h", Optional.of(earlier));
        assertThat(fleet.host("h").orElseThrow().entry()).isEqualTo(later);
    }

    @Test
    void knowsThatItsConfigurationIsOutdatedOnceAnotherHostHasHadANewerOneForLong() {
        fleet.configurationChanged(
                ServingConfiguration.of(7, List.of(), List.of(), Map.of(), List.of(), CallerLimits.DEFAULT));
        long now = System.nanoTime();
        fleet.recordConfigurationElsewhere(8, now);
        assertThat(fleet.isConfigurationOutdated(now + TimeUnit.SECONDS.toNanos(2)))
                .isFalse();
        assertThat(fleet.isConfigurationOutdated(now + TimeUnit.SECONDS.toNanos(4)))
                .isTrue();
        assertThat(fleet.newestKnownConfiguration()).isEqualTo(8);
        fleet.configurationChanged(
                ServingConfiguration.of(8, List.of(), List.of(), Map.of(), List.of(), CallerLimits.DEFAULT));
        assertThat(fleet.isConfigurationOutdated(now + TimeUnit.SECONDS.toNanos(4)))
                .isFalse();
    }

    /** Guards against hosts that each take a whole rate while the records of the others are missing after an outage. */
    @Test
    void countsAHostAmongThoseThatShareARateForAWhileAfterItsRecordIsGone() {
        fleet.hostChanged("h1", Optional.of(TestFixtures.host("h1", "south")));
        fleet.hostChanged("h2", Optional.of(TestFixtures.host("h2", "north")));
        fleet.hostChanged("h1", Optional.empty());
        long now = System.nanoTime();
        assertThat(fleet.hosts()).extracting(host -> host.entry().name()).containsExactly("h2");
        assertThat(fleet.hostsSharingRates("south", now)).containsExactly("h1");
        assertThat(fleet.hostsSharingRates("north", now)).containsExactly("h2");
        fleet.hostChanged("h1", Optional.of(TestFixtures.host("h1", "south")));
        assertThat(fleet.hostsSharingRates("south", now)).containsExactly("h1");
        fleet.hostChanged("h1", Optional.empty());
        assertThat(fleet.hostsSharingRates("south", now + TimeUnit.SECONDS.toNanos(60)))
                .isEmpty();
    }
}
