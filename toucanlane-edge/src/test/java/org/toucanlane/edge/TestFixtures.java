package org.toucanlane.edge;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.toucanlane.domain.serving.CallKind;
import org.toucanlane.domain.serving.EndpointRegistration;
import org.toucanlane.domain.serving.ServingRoute;
import org.toucanlane.domain.serving.WeightedService;
import org.toucanlane.edge.fleet.HostRecord;

/** Sample values for tests that don't depend on their details. */
public final class TestFixtures {

    private TestFixtures() {}

    /** Returns a ready endpoint of service "s". */
    public static EndpointRegistration endpoint(String id, String dataCentre) {
        return endpoint(id, "s", dataCentre, EndpointRegistration.State.READY, 1);
    }

    /** Returns an endpoint with the given state and start time. */
    public static EndpointRegistration endpoint(
            String id, String service, String dataCentre, EndpointRegistration.State state, long startedAtMillis) {
        return new EndpointRegistration(
                id,
                service,
                "127.0.0.1",
                9,
                dataCentre,
                6,
                state,
                Duration.ZERO,
                OptionalLong.of(startedAtMillis),
                Optional.empty());
    }

    /** Returns a host whose data centre has the name of its region. */
    public static HostRecord host(String name, String region) {
        return new HostRecord(name, region, region, "127.0.0.1", 1, 2, 3, 1, 1);
    }

    /** Returns a route for host name "h" to service "s" that may run in {@code regions}. */
    public static ServingRoute route(String name, String pathPrefix, Set<String> regions) {
        return new ServingRoute(
                name,
                "h",
                pathPrefix,
                CallKind.IDEMPOTENT,
                false,
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                Optional.empty(),
                OptionalInt.empty(),
                List.of(new WeightedService("s", 1)),
                1,
                true,
                false,
                regions);
    }
}
