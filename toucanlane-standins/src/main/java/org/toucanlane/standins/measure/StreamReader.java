package org.toucanlane.standins.measure;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;

/**
 * Sends one streamed chat request over a connection of its own and reads its events with little cost of its own, so that
 * the reader does not hide what is measured. Used once, by one thread.
 */
final class StreamReader {

    private static final int TIMEOUT_MILLIS = 30_000;
    private static final int BUFFER_BYTES = 16 * 1024;

    private final LatencyHistogram firstEventLatency;
    private final LatencyHistogram eventGaps;
    private int eventCount;
    private boolean done;
    private boolean ordered = true;
    private int status;

    StreamReader(LatencyHistogram first, LatencyHistogram gaps) {
        this.firstEventLatency = first;
        this.eventGaps = gaps;
    }

    /** Reads the whole answer; a prompt of numbered words lets it check the order of the events. */
    void run(URI base, String key, int words, int tokens) throws IOException {
        StringBuilder prompt = new StringBuilder();
        for (int i = 0; i < words; i++) {
            prompt.append('w').append(i).append(' ');
        }
        String body = "{\"model\":\"m\",\"stream\":true,\"max_tokens\":" + tokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + "\"}]}";
        String head = "POST /v1/chat/completions HTTP/1.1\r\nHost: loopback\r\nConnection: close\r\n"
                + (key.isEmpty() ? "" : "Authorization: Bearer " + key + "\r\n")
                + "Content-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n";
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(TIMEOUT_MILLIS);
            long started = System.nanoTime();
            socket.connect(new InetSocketAddress(base.getHost(), base.getPort()), TIMEOUT_MILLIS);
            OutputStream out = socket.getOutputStream();
            out.write((head + body).getBytes(StandardCharsets.US_ASCII));
            read(new BufferedInputStream(socket.getInputStream(), BUFFER_BYTES), words, started);
        }
    }

    private void read(InputStream in, int words, long started) throws IOException {
        String statusLine = readLine(in);
        status = statusLine == null ? 0 : Integer.parseInt(statusLine.split(" ")[1]);
        long last = started;
        String line = readLine(in);
        while (line != null && !done) {
            if (line.startsWith("data: [DONE]")) {
                done = true;
            } else if (line.startsWith("data: {\"id\"")) {
                long now = System.nanoTime();
                (eventCount == 0 ? firstEventLatency : eventGaps).recordNanos(now - last);
                last = now;
                ordered &= line.contains("\"w" + eventCount % words + ' ');
                eventCount++;
            }
            line = done ? null : readLine(in);
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = in.read();
        while (next >= 0 && next != '\n') {
            line.append((char) next);
            next = in.read();
        }
        return next < 0 && line.length() == 0 ? null : line.toString();
    }

    int status() {
        return status;
    }

    boolean isComplete(int tokens) {
        return done && eventCount == tokens;
    }

    boolean isOrdered() {
        return ordered;
    }

    int eventCount() {
        return eventCount;
    }
}
