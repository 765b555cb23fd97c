package org.toucanlane.standins.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Finds ports of loopback that nobody listens on, below the range from which the system takes the local ports of
 * outgoing connections. Thread-safe.
 */
public final class FreePortFinder {

    private static final int FIRST_PORT = 10_000;
    private static final int PORT_COUNT = 20_000;

    /** Keeps processes that look for ports at the same time apart. */
    private static final int PROCESS_STRIDE = 523;

    private int next = (int) (ProcessHandle.current().pid() * PROCESS_STRIDE % PORT_COUNT);

    /** Returns a port that was free a moment ago and that this finder has not returned before. */
    public synchronized int next() throws IOException {
        for (int tries = 0; tries < PORT_COUNT; tries++) {
            int port = FIRST_PORT + next;
            next = (next + 1) % PORT_COUNT;
            if (isFree(port)) {
                return port;
            }
        }
        throw new IOException("no free port");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
