package org.toucanlane.gateway.caller;

import jakarta.inject.Inject;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import org.toucanlane.gateway.configuration.ConfigurationManager;
import org.toucanlane.gateway.lifecycle.HostPhase;

/** Liveness and readiness checks. Thread-safe. */
@Path("/health")
@Produces(MediaType.APPLICATION_JSON)
public final class HealthResource {

    private final ConfigurationManager configuration;
    private final HostPhase hostPhase;

    /** Creates a resource. */
    @Inject
    public HealthResource(ConfigurationManager configuration, HostPhase hostPhase) {
        this.configuration = configuration;
        this.hostPhase = hostPhase;
    }

    /** Returns 200 while the process is running. */
    @GET
    @Path("/live")
    public Response live() {
        return Response.ok("{\"live\":true}").build();
    }

    /** Returns 200 if the host accepts work, otherwise 503 with the reason. */
    @GET
    @Path("/ready")
    public Response ready() {
        if (hostPhase.isLeaving()) {
            return notReady("the host is leaving");
        }
        if (configuration.version() == 0) {
            return notReady("no configuration has reached this host yet, from the store or from a peer");
        }
        return Response.ok("{\"ready\":true,\"configurationVersion\":" + configuration.version() + '}')
                .build();
    }

    private static Response notReady(String reason) {
        return Response.status(Response.Status.SERVICE_UNAVAILABLE)
                .entity("{\"ready\":false,\"reason\":\"" + reason + "\"}")
                .build();
    }
}
