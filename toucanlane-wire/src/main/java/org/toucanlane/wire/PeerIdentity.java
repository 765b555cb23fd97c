package org.toucanlane.wire;

import com.google.common.base.Preconditions;
import org.toucanlane.wire.proto.Hello;

/**
 * Who a process is towards its peers.
 *
 * @param host name of the host
 * @param dataCentre name of its data centre
 * @param incarnation number of the process, larger than that of any earlier process of the host
 */
public record PeerIdentity(String host, String dataCentre, long incarnation) {

    /** Creates an identity. */
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
