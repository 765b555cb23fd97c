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
import org.toucanlane.edge.Samples;
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
    void dropsAnEndpointThatDrainsOrWhoseEntryIsGone() {
        fleet.endpoint("e", Optional.of(Samples.endpoint("e", "s", "z", State.READY, 1)));
        EndpointHandle handle = fleet.endpoint("e").orElseThrow();
        assertThat(handle.isUsable(System.nanoTime())).isTrue();
        fleet.endpoint("e", Optional.of(Samples.endpoint("e", "s", "z", State.DRAINING, 1)));
        assertThat(handle.isUsable(System.nanoTime())).isFalse();
        fleet.endpoint("e", Optional.empty());
        assertThat(fleet.endpointsOf("s")).isEmpty();
    }

    @Test
    void makesANewHandleForALaterProcessUnderTheSameId() {
        fleet.endpoint("e", Optional.of(Samples.endpoint("e", "s", "z", State.DRAINING, 1)));
        EndpointHandle first = fleet.endpoint("e").orElseThrow();
        first.cache(List.of(new CachedPart("p", 100)));
        fleet.endpoint("e", Optional.of(Samples.endpoint("e", "s", "z", State.READY, 2)));
        EndpointHandle second = fleet.endpoint("e").orElseThrow();
        assertThat(second).isNotSameAs(first);
        assertThat(second.isUsable(System.nanoTime())).isTrue();
        assertThat(second.cachedTokensOf(List.of(new CachedPart("p", 100)))).isZero();
        assertThat(first.isUsable(System.nanoTime())).isFalse();
    }

    @Test
    void followsAnEndpointToItsNewService() {
        fleet.endpoint("e", Optional.of(Samples.endpoint("e", "s", "z", State.READY, 1)));
        fleet.endpoint("e", Optional.of(Samples.endpoint("e", "t", "z", State.READY, 1)));
        assertThat(fleet.endpointsOf("s")).isEmpty();
        assertThat(fleet.endpointsOf("t")).hasSize(1);
    }

    @Test
    void keepsAnEndpointForAWhileWhoseEntryMayOnlyHaveLapsed() {
        fleet.endpoint("e", Optional.of(Samples.endpoint("e", "s", "z", State.READY, 1)));
        fleet.storeReturned(System.nanoTime());
        fleet.endpoint("e", Optional.empty());
        assertThat(fleet.endpoint("e")).isPresent();
        fleet.endpoint("e", Optional.of(Samples.endpoint("e", "s", "z", State.READY, 1)));
        assertThat(fleet.endpoint("e").orElseThrow().isUsable(System.nanoTime()))
                .isTrue();
    }

    @Test
    void dropsADrainingEndpointAtOnceEvenAfterAnOutage() {
        fleet.endpoint("e", Optional.of(Samples.endpoint("e", "s", "z", State.DRAINING, 1)));
        fleet.storeReturned(System.nanoTime());
        fleet.endpoint("e", Optional.empty());
        assertThat(fleet.endpoint("e")).isEmpty();
    }

    @Test
    void boundsTheRateOfEndpointsAfterAnEvacuation() {
        ServingService service = new ServingService("s", "/h", 10, Duration.ofSeconds(3), 5, Optional.empty());
        fleet.configuration(
                ServingConfiguration.of(1, List.of(), List.of(service), Map.of(), List.of(), CallerLimits.DEFAULT));
        fleet.endpoint("e", Optional.of(Samples.endpoint("e", "s", "z", State.READY, 1)));
        EndpointHandle handle = fleet.endpoint("e").orElseThrow();
        assertThat(handle.isCold(System.nanoTime())).isFalse();
        fleet.evacuation("z", true);
        assertThat(fleet.isEvacuated("z")).isTrue();
        fleet.evacuation("z", false);
        assertThat(fleet.isEvacuated("z")).isFalse();
        assertThat(handle.isCold(System.nanoTime())).isTrue();
    }

    @Test
    void neverTakesAnOlderConfiguration() {
        fleet.configuration(
                ServingConfiguration.of(7, List.of(), List.of(), Map.of(), List.of(), CallerLimits.DEFAULT));
        fleet.configuration(
                ServingConfiguration.of(6, List.of(), List.of(), Map.of(), List.of(), CallerLimits.DEFAULT));
        assertThat(fleet.configuration().orElseThrow().version()).isEqualTo(7);
    }

    /** A crashed endpoint that its own region no longer uses once looked idle, and so fastest, from other regions. */
    @Test
    void looksNotIdleFromAfarWhenItsOwnRegionDoesNotUseIt() {
        fleet.endpoint("e", Optional.of(Samples.endpoint("e", "s", "z", State.READY, 1)));
        EndpointHandle handle = fleet.endpoint("e").orElseThrow();
        assertThat(handle.isUsableElsewhere(System.nanoTime())).isTrue();
        handle.report("neighbour", new RemoteLoad(0, 0, 0, false, 1, 1), System.nanoTime());
        assertThat(handle.isUsableElsewhere(System.nanoTime())).isFalse();
        handle.dropReport("neighbour");
        assertThat(handle.isUsableElsewhere(System.nanoTime())).isTrue();
    }

    @Test
    void countsWhatAllHostsHaveRunning() {
        fleet.endpoint("e", Optional.of(Samples.endpoint("e", "s", "z", State.READY, 1)));
        EndpointHandle handle = fleet.endpoint("e").orElseThrow();
        Reservation own = new Reservation(handle, List.of(), 100, 300, 50);
        handle.report("neighbour", new RemoteLoad(2, 1_000, 4_000, true, 1, 1), System.nanoTime());
        assertThat(handle.load(System.nanoTime()).running()).isEqualTo(3);
        assertThat(handle.load(System.nanoTime()).pendingPromptTokens()).isEqualTo(1_100);
        own.firstAnswer();
        assertThat(handle.load(System.nanoTime()).pendingPromptTokens()).isEqualTo(1_000);
        own.end(Reservation.Result.COMPLETE);
        own.end(Reservation.Result.COMPLETE);
        assertThat(handle.load(System.nanoTime()).running()).isEqualTo(2);
        assertThat(handle.load(System.nanoTime()).usedKvTokens()).isEqualTo(4_000);
    }
}
