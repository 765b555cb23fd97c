package org.toucanlane.edge.gossip;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.toucanlane.domain.serving.CallerLimits;
import org.toucanlane.domain.serving.EndpointRegistration;
import org.toucanlane.domain.serving.ServingConfiguration;
import org.toucanlane.edge.TestFixtures;
import org.toucanlane.edge.fleet.EndpointHandle;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.fleet.HostHandle;
import org.toucanlane.edge.fleet.RegionOffers;
import org.toucanlane.edge.telemetry.DecisionLog;
import org.toucanlane.policy.offer.HeldOffer;
import org.toucanlane.policy.offer.ServiceOffer;

class OfferExchangeTest {

    private static final int TAG = RegionOffers.tagOf("s");

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();
    private final Fleet fleet = new Fleet(loop, new DecisionLog("test"), "self", Map.of("z", "south", "y", "north"));
    private final OfferExchange exchange =
            new OfferExchange(fleet, new DecisionLog("test"), TestFixtures.host("self", "south"));
    private final long now = System.nanoTime() + TimeUnit.MINUTES.toNanos(1);

    @BeforeEach
    void addFleet() {
        fleet.hostChanged("neighbour", Optional.of(TestFixtures.host("neighbour", "south")));
        fleet.hostChanged("far", Optional.of(TestFixtures.host("far", "north")));
        fleet.configurationChanged(ServingConfiguration.of(
                1,
                List.of(TestFixtures.route("r", "/", Set.of())),
                List.of(),
                Map.of(),
                List.of(),
                CallerLimits.DEFAULT));
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "z")));
    }

    @AfterEach
    void stop() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void sendsNothingWhileNoServiceRunsInSeveralRegions() {
        assertThat(exchange.ownOffers(now)).isEmpty();
        assertThat(exchange.demandDatagrams(now)).isEmpty();
        assertThat(exchange.allOffers(now)).isEmpty();
    }

    @Test
    void offersWhatTheCallersOfAllHostsLeave() throws Exception {
        fleet.endpointChanged("f", Optional.of(TestFixtures.endpoint("f", "y")));
        ServiceOffer whole = ownOffer();
        assertThat(whole.hasRoom()).isTrue();
        exchange.receive(report("neighbour", false, demand(1)), now);
        assertThat(ownOffer().places()).isLessThan(whole.places());
        exchange.receive(report("neighbour", false, demand(10_000)), now);
        exchange.receive(report("far", false, demand(0)), now);
        assertThat(ownOffer().hasRoom()).isFalse();
        exchange.removeExpired(now + HeldOffer.MAX_AGE.toNanos() + 1);
        assertThat(ownOffer())
                .isEqualTo(new ServiceOffer(
                        whole.demand(), whole.places(), 0, ownOffer().turn() - 1));
    }

    @Test
    void endpointsThatCantTakeAnyRequestAddNothing() throws Exception {
        fleet.endpointChanged("f", Optional.of(TestFixtures.endpoint("f", "y")));
        EndpointHandle endpoint = fleet.endpoint("e").orElseThrow();
        endpoint.requestLimit().update(OptionalDouble.of(5), now, now + 1);
        assertThat(ownOffer().hasRoom()).as("limited").isFalse();
        endpoint.requestLimit().update(OptionalDouble.empty(), now + 2, now + 3);
        assertThat(ownOffer().hasRoom()).isTrue();
        fleet.evacuationChanged("z", true);
        assertThat(ownOffer().hasRoom()).as("evacuated").isFalse();
        fleet.evacuationChanged("z", false);
        endpoint.pause(Duration.ofDays(1), now);
        assertThat(ownOffer().hasRoom()).as("paused").isFalse();
        fleet.endpointChanged(
                "e", Optional.of(TestFixtures.endpoint("e", "s", "z", EndpointRegistration.State.DRAINING, 1)));
        assertThat(ownOffer().hasRoom()).as("draining").isFalse();
    }

    @Test
    void keepsTheNewestOfferWithItsAge() throws Exception {
        ServiceOffer offer = new ServiceOffer(new ServiceOffer.Demand(1.5, 20), 7, 900, 127);
        exchange.receive(report("neighbour", true, new OfferReport.Region("north", 500, Map.of(TAG, offer))), now);
        exchange.receive(
                report(
                        "neighbour",
                        true,
                        new OfferReport.Region(
                                "north", 900, Map.of(TAG, demand(1).offers().get(TAG)))),
                now);
        assertThat(fleet.offers().offer("north", "s")).contains(offer);
        assertThat(fleet.offers().report("north").orElseThrow().reportedAt())
                .isEqualTo(now - TimeUnit.MILLISECONDS.toNanos(500));
        OfferReport forwarded = OfferReport.decode(
                exchange.allOffers(now + TimeUnit.MILLISECONDS.toNanos(100)).get(0));
        assertThat(forwarded.regions()).containsExactly(new OfferReport.Region("north", 600, Map.of(TAG, offer)));
        exchange.removeExpired(now + HeldOffer.MAX_AGE.toNanos());
        assertThat(fleet.offers().offer("north", "s")).isEmpty();
    }

    /** A damaged report fails with IOException or decodes to another report; no other exception may be thrown. */
    @Test
    void rejectsDamagedReports() {
        byte[] complete = report("far", true, demand(3)).encode();
        for (int length = 0; length < complete.length; length++) {
            byte[] truncated = Arrays.copyOf(complete, length);
            assertThatThrownBy(() -> OfferReport.decode(truncated)).isInstanceOf(IOException.class);
        }
        assertThatThrownBy(() -> OfferReport.decode(Arrays.copyOf(complete, complete.length + 1)))
                .isInstanceOf(IOException.class);
        Random random = new Random(11);
        for (int i = 0; i < 2_000; i++) {
            byte[] bytes = complete.clone();
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
            try {
                assertThat(OfferReport.decode(bytes)).isNotNull();
            } catch (IOException e) {
                assertThat(e).hasMessageMatching("(?s).+");
            }
        }
    }

    private ServiceOffer ownOffer() throws IOException {
        return OfferReport.decode(exchange.ownOffers(now).get(0))
                .regions()
                .get(0)
                .offers()
                .get(TAG);
    }

    private static OfferReport.Region demand(int requestsPerSecond) {
        return new OfferReport.Region(
                "south", 0, Map.of(TAG, ServiceOffer.none(new ServiceOffer.Demand(requestsPerSecond, 0))));
    }

    private static OfferReport report(String host, boolean aggregated, OfferReport.Region region) {
        return new OfferReport(HostHandle.tagOf(host), 1, aggregated, List.of(region));
    }
}
