package org.toucanlane.standins.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import org.junit.jupiter.api.Test;

class FreePortFinderTest {

    /** The port after the one that the finder returned was taken for granted, and could be in use. */
    @Test
    void aPairHasNoPortThatIsInUse() throws Exception {
        FreePortFinder finder = new FreePortFinder();
        int used = finder.next() + 2;
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (DatagramSocket holder = new DatagramSocket(used, loopback)) {
            assertThat(holder.isBound()).isTrue();
            int first = finder.nextPair();
            assertThat(first).isNotIn(used - 1, used);
            for (int port = first; port <= first + 1; port++) {
                try (ServerSocket stream = new ServerSocket(port, 1, loopback);
                        DatagramSocket datagram = new DatagramSocket(port, loopback)) {
                    assertThat(stream.isBound() && datagram.isBound()).isTrue();
                }
            }
            assertThat(finder.next()).isGreaterThan(first + 1);
        }
    }
}
