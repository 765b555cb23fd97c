package org.toucanlane.standins.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/** Finds ports of loopback that nobody listens on. Thread-safe. */
final class FreePorts {

    private final Set<Integer> taken = new HashSet<>();

    synchronized int next() throws IOException {
        while (true) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                if (taken.add(socket.getLocalPort())) {
                    return socket.getLocalPort();
                }
            }
        }
    }
}
