package org.toucanlane.gateway.caller;

import jakarta.ws.rs.core.HttpHeaders;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.outcome.RequestFailedException;

/**
 * The headers of a caller's request that the gateway evaluates.
 *
 * @param requestId id assigned to the request
 * @param authorization value of the {@code Authorization} header; may be null
 * @param contentType media type of the body; may be empty
 * @param accept media types that the caller accepts; may be empty
 * @param idempotencyKey key that identifies repeats of the request, if the caller sent one
 * @param timeout maximum time until the response starts, if the caller specified one
 */
record CallerContext(
        String requestId,
        String authorization,
        String contentType,
        String accept,
        Optional<String> idempotencyKey,
        Optional<Duration> timeout) {

    static final String REQUEST_ID_HEADER = "X-Request-Id";
    static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    static final String VIA_HEADER = "Via";
    static final String TIMEOUT_HEADER = "X-Timeout-Millis";

    /** Pseudonym of this gateway in the {@code Via} header, for loop detection (RFC 9110, section 7.6.3). */
    static final String VIA_PSEUDONYM = "toucanlane";

    private static final int MAX_IDEMPOTENCY_KEY_CHARACTERS = 255;
    private static final long MAX_TIMEOUT_MILLIS = Duration.ofHours(1).toMillis();
    private static final SecureRandom RANDOM = new SecureRandom();

    static String newRequestId() {
        return String.format("%016x%016x", RANDOM.nextLong(), RANDOM.nextLong());
    }

    /**
     * Parses the headers.
     *
     * @throws RequestFailedException if a header is malformed, or the request has already passed through a gateway host
     */
    static CallerContext of(String requestId, HttpHeaders headers) throws RequestFailedException {
        List<String> via = headers.getRequestHeader(VIA_HEADER);
        if (via != null && via.stream().anyMatch(value -> value.contains(VIA_PSEUDONYM))) {
            throw new RequestFailedException(
                    ErrorKind.LOOP_DETECTED, "the request has passed through this system before");
        }
        return new CallerContext(
                requestId,
                headers.getHeaderString(HttpHeaders.AUTHORIZATION),
                orEmpty(headers.getHeaderString(HttpHeaders.CONTENT_TYPE)),
                orEmpty(headers.getHeaderString(HttpHeaders.ACCEPT)),
                idempotencyKey(headers),
                timeout(headers));
    }

    private static String orEmpty(String value) {
        return value == null ? "" : value;
    }

    private static Optional<String> idempotencyKey(HttpHeaders headers) throws RequestFailedException {
        String key = headers.getHeaderString(IDEMPOTENCY_KEY_HEADER);
        if (key != null && (key.isBlank() || key.length() > MAX_IDEMPOTENCY_KEY_CHARACTERS)) {
            throw new RequestFailedException(
                    ErrorKind.INVALID_REQUEST,
                    IDEMPOTENCY_KEY_HEADER + " must have 1 to " + MAX_IDEMPOTENCY_KEY_CHARACTERS + " characters");
        }
        return Optional.ofNullable(key);
    }

    private static Optional<Duration> timeout(HttpHeaders headers) throws RequestFailedException {
        String text = headers.getHeaderString(TIMEOUT_HEADER);
        if (text == null) {
            return Optional.empty();
        }
        try {
            long millis = Long.parseLong(text.trim());
            if (millis > 0 && millis <= MAX_TIMEOUT_MILLIS) {
                return Optional.of(Duration.ofMillis(millis));
            }
        } catch (NumberFormatException ignored) {
            // Rejected below, like an out-of-range value.
        }
        throw new RequestFailedException(
                ErrorKind.INVALID_REQUEST, TIMEOUT_HEADER + " must be a number from 1 to " + MAX_TIMEOUT_MILLIS);
    }
}
