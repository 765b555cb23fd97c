package org.toucanlane.standins.fleet;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Finds loopback ports, unused by streams and by datagrams, below the range from which the system takes the ephemeral
 * ports of outgoing connections.
 * Thread-safe.
 */
public final class FreePortFinder {

    private static final int FIRST_PORT = 10_000;
    private static final int PORT_COUNT = 20_000;

    /** Multiplied by the process id, so that processes that search at the same time start at different ports. */
    private static final int PROCESS_STRIDE = 523;

    private int next = (int) (ProcessHandle.current().pid() * PROCESS_STRIDE % PORT_COUNT);

    /**
     * Returns an unused port, different from those returned before until the range is exhausted. Another process may
     * bind the port before the caller does.
     */
    public synchronized int next() throws IOException {
        for (int tries = 0; tries < PORT_COUNT; tries++) {
            int port = FIRST_PORT + next;
            next = (next + 1) % PORT_COUNT;
            if (isFree(port)) {
                return port;
            }
        }
        throw new IOException("no unused loopback port found");
    }

    /** Returns the first of two consecutive unused ports; the conditions are those of {@link #next}. */
    public synchronized int nextPair() throws IOException {
        int first = next();
        int second = next();
        while (second != first + 1) {
            first = second;
            second = next();
        }
        return first;
    }

    private static boolean isFree(int port) {
        try (ServerSocket stream = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
                DatagramSocket datagram = new DatagramSocket(port, InetAddress.getLoopbackAddress())) {
            return stream.isBound() && datagram.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
