package org.toucanlane.platform.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParser;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/**
 * Parses the heads of the responses on one connection.
 *
 * <p>Invariant: a head is returned only if its blank line has arrived, since the lines of a truncated head don't tell the
 * length of the body, and if it is that of one response. Used by one thread at a time.
 */
final class ResponseHeadParser extends DefaultHttpResponseParser {

    /** Maximum number of informational (1xx) responses in a row. */
    private static final int MAX_INFORMATIONAL_RESPONSES = 8;

    private static final Pattern STATUS_LINE = Pattern.compile("(?i)HTTP/\\d\\.\\d\\s+\\d{3}(?!\\S)");

    private int informationalCount;

    ResponseHeadParser(Http1Config config) {
        super(config);
    }

    @Override
    public ClassicHttpResponse parse(SessionInputBuffer buffer, InputStream in) throws IOException, HttpException {
        ClassicHttpResponse response = super.parse(buffer, new HeadInputStream(in));
        checkNotMerged(response);
        informationalCount = response.getCode() < HttpStatus.SC_SUCCESS ? informationalCount + 1 : 0;
        if (informationalCount > MAX_INFORMATIONAL_RESPONSES) {
            throw new ProtocolException("more than " + MAX_INFORMATIONAL_RESPONSES + " informational responses");
        }
        return response;
    }

    /** Throws if a status line stands within the head, which therefore consists of parts of two responses. */
    private static void checkNotMerged(ClassicHttpResponse response) throws ProtocolException {
        Stream<String> parts = Stream.concat(
                Stream.ofNullable(response.getReasonPhrase()),
                Arrays.stream(response.getHeaders()).map(Header::toString));
        if (parts.anyMatch(part -> STATUS_LINE.matcher(part).find())) {
            throw new ProtocolException("the head of a response contains another status line");
        }
    }

    /** Fails at the end of the stream, which the parser takes for the end of a head. */
    private static final class HeadInputStream extends FilterInputStream {

        private HeadInputStream(InputStream in) {
            super(in);
        }

        @Override
        public int read() throws IOException {
            return checkOpen(super.read());
        }

        @Override
        public int read(byte[] bytes, int offset, int length) throws IOException {
            return checkOpen(super.read(bytes, offset, length));
        }

        private static int checkOpen(int read) throws IOException {
            if (read < 0) {
                throw new ConnectionClosedException("connection closed before the end of a response's head");
            }
            return read;
        }
    }
}
