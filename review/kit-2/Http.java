import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads HTTP/1.1 messages as they are on the wire. Text holds one character for each byte. */
final class Http {
    private Http() {}

    /** A request or a response. {@code complete} tells whether the body has ended as its framing says. */
    record Message(String startLine, List<String[]> headers, byte[] body, boolean complete) {

        String header(String name) {
            return headers.stream()
                    .filter(header -> header[0].equalsIgnoreCase(name))
                    .map(header -> header[1])
                    .findFirst()
                    .orElse("");
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                out.write(next);
            }
            next = in.read();
        }
        if (next < 0) {
            throw new EOFException("connection ended within a line");
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a message, or returns null if the connection has ended before it. */
    static Message read(InputStream in, boolean response) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        List<String[]> headers = new ArrayList<>();
        for (String next = line(in); !next.isEmpty(); next = line(in)) {
            int colon = next.indexOf(':');
            headers.add(new String[] {next.substring(0, colon), next.substring(colon + 1).strip()});
        }
        Message head = new Message(start, headers, new byte[0], true);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = true;
        try {
            if (head.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
                int size = Integer.parseInt(line(in).split(";")[0].strip(), 16);
                while (size > 0) {
                    body.write(readFully(in, size));
                    line(in);
                    size = Integer.parseInt(line(in).split(";")[0].strip(), 16);
                }
                while (!line(in).isEmpty()) {
                    // Trailers.
                }
            } else if (!head.header("Content-Length").isEmpty()) {
                body.write(readFully(in, Integer.parseInt(head.header("Content-Length"))));
            } else if (response) {
                in.transferTo(body);
            }
        } catch (IOException | RuntimeException e) {
            complete = false;
        }
        return new Message(start, headers, body.toByteArray(), complete);
    }

    private static byte[] readFully(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("connection ended within a body");
        }
        return bytes;
    }
}
