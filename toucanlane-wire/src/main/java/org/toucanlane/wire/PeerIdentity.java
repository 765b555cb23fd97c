package org.toucanlane.wire;

import com.google.common.base.Preconditions;
import org.toucanlane.wire.proto.Hello;

/**
 * Identity that a host process presents to its peers.
 *
 * @param host host name
 * @param dataCentre name of the data centre that contains the host
 * @param incarnation number of the process, greater than that of every earlier process of the same host
 */
public record PeerIdentity(String host, String dataCentre, long incarnation) {

    /**
     * Creates an identity.
     *
     * @throws IllegalArgumentException if a name is empty or the incarnation is not positive
     */
    public PeerIdentity {
        Preconditions.checkArgument(!host.isEmpty(), "host must not be empty");
        Preconditions.checkArgument(!dataCentre.isEmpty(), "dataCentre must not be empty");
        Preconditions.checkArgument(incarnation > 0, "incarnation must be positive: %s", incarnation);
    }

    static PeerIdentity from(Hello hello) {
        return new PeerIdentity(hello.getHost(), hello.getDataCentre(), hello.getIncarnation());
    }

    Hello toHello() {
        return Hello.newBuilder()
                .setProtocolVersion(PeerProtocol.VERSION)
                .setHost(host)
                .setDataCentre(dataCentre)
                .setIncarnation(incarnation)
                .build();
    }
}
