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
 * Sends one streamed chat request over its own connection and reads the events. It works on a plain socket with minimal
 * parsing, so that the cost of the client does not mask the measured latency. An instance is used for one request, by
 * one thread.
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

    StreamReader(LatencyHistogram firstEventLatency, LatencyHistogram eventGaps) {
        this.firstEventLatency = firstEventLatency;
        this.eventGaps = eventGaps;
    }

    /**
     * Sends the request and reads the response to its end. The prompt consists of numbered words, which the engine
     * repeats, so that the order of the events can be checked.
     */
    void run(URI base, String key, int promptWords, int tokens) throws IOException {
        StringBuilder prompt = new StringBuilder();
        for (int i = 0; i < promptWords; i++) {
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
            long startedNanos = System.nanoTime();
            socket.connect(new InetSocketAddress(base.getHost(), base.getPort()), TIMEOUT_MILLIS);
            OutputStream out = socket.getOutputStream();
            out.write((head + body).getBytes(StandardCharsets.US_ASCII));
            read(new BufferedInputStream(socket.getInputStream(), BUFFER_BYTES), promptWords, startedNanos);
        }
    }

    private void read(InputStream in, int promptWords, long startedNanos) throws IOException {
        String statusLine = readLine(in);
        status = statusLine == null ? 0 : Integer.parseInt(statusLine.split(" ")[1]);
        long previousNanos = startedNanos;
        String line = readLine(in);
        while (line != null && !done) {
            if (line.startsWith("data: [DONE]")) {
                done = true;
            } else if (line.startsWith("data: {\"id\"")) {
                long nowNanos = System.nanoTime();
                (eventCount == 0 ? firstEventLatency : eventGaps).recordNanos(nowNanos - previousNanos);
                previousNanos = nowNanos;
                ordered &= line.contains("\"w" + eventCount % promptWords + ' ');
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
