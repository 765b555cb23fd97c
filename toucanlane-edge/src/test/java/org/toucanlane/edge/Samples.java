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

/** Values for tests that need one and don't look at its details. */
public final class Samples {

    private Samples() {}

    /** Returns an endpoint of service "s" that takes requests. */
    public static EndpointRegistration endpoint(String id, String dataCentre) {
        return endpoint(id, "s", dataCentre, EndpointRegistration.State.READY, 1);
    }

    /** Returns an endpoint. */
    public static EndpointRegistration endpoint(
            String id, String service, String dataCentre, EndpointRegistration.State state, long born) {
        return new EndpointRegistration(
                id,
                service,
                "127.0.0.1",
                9,
                dataCentre,
                6,
                state,
                Duration.ZERO,
                OptionalLong.of(born),
                Optional.empty());
    }

    /** Returns a host of its own data centre. */
    public static HostRecord host(String name, String region) {
        return new HostRecord(name, region, region, "127.0.0.1", 1, 2, 3, 1, 1);
    }

    /** Returns a route of host name "h" to service "s" that may run in {@code regions}. */
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
