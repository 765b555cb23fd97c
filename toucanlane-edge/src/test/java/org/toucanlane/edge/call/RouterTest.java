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
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.serving.RouteBounds;
import org.toucanlane.domain.serving.ServingRoute;
import org.toucanlane.edge.TestFixtures;
import org.toucanlane.edge.fleet.EndpointHandle;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.fleet.RegionOffers;
import org.toucanlane.edge.telemetry.DecisionLog;
import org.toucanlane.policy.offer.ServiceOffer;

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
                .hasMessageContaining("the service has 1, 0 of them in allowed regions (north), 0 of those usable")
                .isInstanceOfSatisfying(
                        CallRefusedException.class,
                        refusal -> assertThat(refusal.kind()).isEqualTo(ErrorKind.NO_ENDPOINT));
    }

    /** A region whose idle endpoints all hosts see is used only as far as it offers room. */
    @Test
    void anotherRegionIsUsedWhileThisHostHoldsPartOfItsOffer() throws Exception {
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "z")));
        fleet.endpointChanged("f", Optional.of(TestFixtures.endpoint("f", "y")));
        fleet.hostChanged("far", Optional.of(TestFixtures.host("far", "north")));
        assertThat(router.choose(call(Set.of()), Set.of("e")))
                .as("no report carries offers")
                .isInstanceOf(Destination.Remote.class);
        long now = System.nanoTime() - TimeUnit.SECONDS.toNanos(1);
        offer("south", 5, now - 1);
        offer("north", 0, now);
        assertThat(router.choose(call(Set.of()), Set.of("e")))
                .as("a retry, while this region has room itself")
                .isInstanceOf(Destination.Remote.class);
        offer("south", 0, now);
        assertThatThrownBy(() -> router.choose(call(Set.of()), Set.of("e")))
                .isInstanceOfSatisfying(
                        CallRefusedException.class,
                        refusal -> assertThat(refusal.kind()).isEqualTo(ErrorKind.OVERLOADED));
        offer("north", 3, now + 1);
        assertThat(router.choose(call(Set.of()), Set.of())).isInstanceOf(Destination.Local.class);
        assertThat(router.choose(call(Set.of()), Set.of("e")))
                .as("the first two requests count, too")
                .isInstanceOf(Destination.Remote.class);
        assertThatThrownBy(() -> router.choose(call(Set.of()), Set.of("e"))).isInstanceOf(CallRefusedException.class);
        assertThat(router.choose(call(Set.of("north")), Set.of()))
                .as("a request that may run only there")
                .isInstanceOf(Destination.Remote.class);
    }

    @Test
    void aRefusalWithdrawsTheOfferForTheTimeThatItNames() throws Exception {
        fleet.endpointChanged("f", Optional.of(TestFixtures.endpoint("f", "y")));
        fleet.hostChanged("far", Optional.of(TestFixtures.host("far", "north")));
        HostUpstream upstream = new HostUpstream(fleet.host("far").orElseThrow());
        upstream.pause(Duration.ofMillis(1_700));
        router.recordRefusal(upstream, "s");
        assertThatThrownBy(() -> router.choose(call(Set.of()), Set.of()))
                .isInstanceOfSatisfying(CallRefusedException.class, refusal -> {
                    assertThat(refusal.kind()).isEqualTo(ErrorKind.OVERLOADED);
                    assertThat(refusal.retryAfter()).isBetween(Duration.ofMillis(1_000), Duration.ofMillis(1_700));
                });
    }

    private void offer(String region, int places, long time) {
        fleet.offers()
                .update(
                        region,
                        Map.of(RegionOffers.tagOf("s"), new ServiceOffer(ServiceOffer.Demand.NONE, places, 0, 0)),
                        time);
    }

    @Test
    void prefersLocalEndpointWhileEstimateIsLow() throws Exception {
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "z")));
        fleet.endpointChanged("f", Optional.of(TestFixtures.endpoint("f", "y")));
        assertThat(router.choose(call(Set.of()), Set.of())).isInstanceOfSatisfying(Destination.Local.class, local -> {
            assertThat(local.endpoint().id()).isEqualTo("e");
        });
        assertThatThrownBy(() -> router.choose(call(Set.of()), Set.of("e")))
                .isInstanceOfSatisfying(CallRefusedException.class, refusal -> {
                    assertThat(refusal.kind()).isEqualTo(ErrorKind.OVERLOADED);
                    assertThat(refusal.retryAfter()).isPositive();
                })
                .hasMessageContaining("of 2 usable endpoints in allowed regions (any region), 1 have been tried,"
                        + " 0 are warming up or at their limit, 1 are in other regions");
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
