package org.toucanlane.platform.http;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;

/** A server on loopback whose responses a test scripts at the level of bytes. */
final class ScriptedServer implements Closeable {

    private static final String LENGTH = "content-length: ";

    private final ServerSocket server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    private volatile Script script;

    ScriptedServer(Script script) throws IOException {
        this.script = script;
        start(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                start(() -> serve(socket));
            }
        });
    }

    private static void start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException expected) {
                // The client or the test has closed the socket.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            int exchange = 1;
            while (readRequest(in) && !socket.isClosed()) {
                script.answer(exchange, new Connection(socket));
                exchange++;
            }
        }
    }

    private static boolean readRequest(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return false;
            }
            head.append((char) Character.toLowerCase(next));
        }
        int at = head.indexOf(LENGTH);
        if (at >= 0) {
            int start = at + LENGTH.length();
            in.skipNBytes(Integer.parseInt(head.substring(start, head.indexOf("\r\n", start))));
        }
        return true;
    }

    void setScript(Script next) {
        script = next;
    }

    URI address() {
        return URI.create("http://127.0.0.1:" + server.getLocalPort());
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private interface Task {
        void run() throws IOException;
    }

    /** Responds to a request, the n-th of its connection, beginning with 1. */
    interface Script {
        void answer(int exchange, Connection out) throws IOException;
    }

    /** A connection from the client. */
    static final class Connection {

        private final Socket socket;

        private Connection(Socket socket) {
            this.socket = socket;
        }

        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        void close() throws IOException {
            socket.close();
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }
}
