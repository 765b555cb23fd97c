package org.toucanlane.edge.call;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.toucanlane.domain.serving.RouteBounds;
import org.toucanlane.domain.serving.ServingRoute;
import org.toucanlane.edge.TestFixtures;
import org.toucanlane.edge.fleet.EndpointHandle;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.telemetry.DecisionLog;

class RouterTest {

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();
    private final Fleet fleet = new Fleet(loop, new DecisionLog("test"), "self", Map.of("y", "north", "z", "south"));
    private final Router router = new Router(fleet, "self", "south", host -> true, new Random(1));

    @AfterEach
    void stop() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /**
     * Guards against refusals that look like those of an overloaded service although the account's home region has lost
     * its only endpoint.
     */
    @Test
    void refusalNamesAllowedRegionsAndEndpointCounts() {
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "z")));
        assertThatThrownBy(() -> router.choose(call(Set.of("north")), Set.of()))
                .isInstanceOf(CallRefusedException.class)
                .hasMessageContaining("the service has 1, 0 of them in allowed regions (north), 0 of those usable");
    }

    @Test
    void prefersLocalEndpointWhileEstimateIsLow() throws Exception {
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "z")));
        fleet.endpointChanged("f", Optional.of(TestFixtures.endpoint("f", "y")));
        assertThat(router.choose(call(Set.of()), Set.of())).isInstanceOfSatisfying(Destination.Local.class, local -> {
            assertThat(local.endpoint().id()).isEqualTo("e");
        });
        assertThatThrownBy(() -> router.choose(call(Set.of()), Set.of("e")))
                .isInstanceOf(CallRefusedException.class)
                .hasMessageContaining(
                        "the service has 2, 2 of them in allowed regions (any region), 2 of those usable");
    }

    /** Guards against requests of other regions that follow the low load of an endpoint with a limit. */
    @Test
    void reportsAnEndpointWithALimitAsUnusable() {
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "z")));
        EndpointHandle endpoint = fleet.endpoint("e").orElseThrow();
        long now = System.nanoTime();
        endpoint.requestLimit().update(OptionalDouble.of(0), now, now + 1);
        assertThat(endpoint.localUsage(now + 1).usable()).isFalse();
        assertThat(endpoint.isUsable(now + 1)).isTrue();
        endpoint.requestLimit().update(OptionalDouble.empty(), now, now + 2);
        assertThat(endpoint.requestLimit().named())
                .as("the request was sent before the limit was known")
                .hasValue(0);
        endpoint.requestLimit().update(OptionalDouble.empty(), now + 2, now + 3);
        assertThat(endpoint.localUsage(now + 3).usable()).isTrue();
    }

    private static AdmittedCall call(Set<String> regions) {
        ServingRoute route = TestFixtures.route("r", "/", regions);
        CallHead head = new CallHead(
                "id", "h", "/", OptionalLong.empty(), Optional.empty(), Optional.empty(), Optional.empty());
        return new AdmittedCall(
                head,
                route,
                "s",
                Optional.empty(),
                regions,
                System.nanoTime() + TimeUnit.SECONDS.toNanos(1),
                1,
                0,
                Optional.empty(),
                1,
                new RouteBounds(0, Duration.ofSeconds(1)));
    }
}
