import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A minimal HTTP/1.1 server and client on blocking sockets, with access to the bytes of a response. Thread-safe. */
final class Http {

    private Http() {}

    /** A message: first line, headers by lower-case name, body; {@code complete} is false if it broke off. */
    record Message(String line, Map<String, String> headers, byte[] body, boolean complete) {

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads the head of a message, or returns null at the end of the input. */
    static Message readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).strip());
        }
        return new Message(line, headers, new byte[0], true);
    }

    /** Reads a whole message, or returns null at the end of the input. */
    static Message read(InputStream in) throws IOException {
        Message head = readHead(in);
        if (head == null) {
            return null;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = true;
        if (head.header("transfer-encoding").contains("chunked")) {
            complete = readChunks(in, body);
        } else {
            int length = Integer.parseInt(head.headers().getOrDefault("content-length", "0"));
            byte[] bytes = in.readNBytes(length);
            body.write(bytes);
            complete = bytes.length == length;
        }
        return new Message(head.line(), head.headers(), body.toByteArray(), complete);
    }

    private static boolean readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = readLine(in);
            if (size == null || size.isEmpty()) {
                return false;
            }
            int length = Integer.parseInt(size.split(";")[0].strip(), 16);
            byte[] bytes = in.readNBytes(length);
            body.write(bytes);
            if (bytes.length < length) {
                return false;
            }
            String end = readLine(in);
            if (end == null) {
                return false;
            }
            if (length == 0) {
                return true;
            }
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            line.write(next);
            next = in.read();
        }
        return next < 0 ? null : line.toString(StandardCharsets.UTF_8).strip();
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Answers the requests of one connection. */
    interface Handler {

        /** Answers {@code request}; returns whether the connection stays open. */
        boolean handle(Message request, Connection connection) throws IOException;
    }

    /** A connection of a server. */
    record Connection(Socket socket, InputStream in) {

        synchronized void write(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        void write(String text) throws IOException {
            write(bytes(text));
        }

        void respond(int status, String headers, String body) throws IOException {
            write("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + bytes(body).length + "\r\n\r\n" + body);
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** A server with a thread for each connection. */
    static final class Server implements Closeable {

        private final ServerSocket listener;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();

        Server(String address, int port, Handler handler) throws IOException {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(address, port), 1024);
            Kit.background(() -> {
                while (!listener.isClosed()) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    Kit.background(() -> serve(socket, handler));
                }
            });
        }

        private void serve(Socket socket, Handler handler) throws IOException {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
                boolean stay = true;
                while (stay) {
                    Message request = read(in);
                    stay = request != null && request.complete() && handler.handle(request, new Connection(socket, in));
                }
            } finally {
                open.remove(socket);
            }
        }

        int port() {
            return listener.getLocalPort();
        }

        String address() {
            return listener.getInetAddress().getHostAddress() + ':' + port();
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : open) {
                socket.close();
            }
        }
    }

    /** A client's connection. */
    static final class Client implements Closeable {

        private final Socket socket = new Socket();
        private final InputStream in;

        Client(String address, int port, int timeoutMillis) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(address, port), 1000);
            socket.setSoTimeout(timeoutMillis);
            in = new BufferedInputStream(socket.getInputStream(), 65536);
        }

        void write(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        InputStream in() {
            return in;
        }

        Message send(String head, byte[] body) throws IOException {
            write(bytes(head));
            write(body);
            return read(in);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
