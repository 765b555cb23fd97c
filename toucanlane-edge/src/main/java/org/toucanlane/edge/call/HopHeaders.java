package org.toucanlane.edge.call;

import com.google.common.primitives.Ints;
import com.google.common.primitives.Longs;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.outcome.ExecutionStatus;
import org.toucanlane.policy.retry.RetryPolicy;

/** The headers that hosts add to a request that one passes on to another, and to its answer. */
final class HopHeaders {

    private static final String FROM = "toucanlane-from";
    private static final String ACCOUNT = "toucanlane-account";
    private static final String TIME_LEFT = "toucanlane-time-left-ms";
    private static final String ENDPOINTS_LEFT = "toucanlane-endpoints-left";
    private static final String VERSION = "toucanlane-version";
    private static final String RESUME_AFTER = "toucanlane-resume-after";
    private static final String REFUSAL = "toucanlane-refusal";
    private static final String SENT = "toucanlane-sent";

    private HopHeaders() {}

    /** Writes what the other host must know. */
    static void write(HttpHeaders headers, Hop hop) {
        headers.set(FROM, hop.from());
        hop.account().ifPresent(account -> headers.set(ACCOUNT, account));
        headers.set(TIME_LEFT, hop.timeLeft().toMillis());
        headers.set(ENDPOINTS_LEFT, hop.endpointsLeft());
        headers.set(VERSION, hop.version());
        hop.resumeAfter().ifPresent(id -> headers.set(RESUME_AFTER, id));
    }

    /**
     * Reads what another host has written.
     *
     * @throws InvalidCallException if something is missing
     */
    static Hop read(HttpRequest request) throws InvalidCallException {
        HttpHeaders headers = request.headers();
        Long timeLeft = Longs.tryParse(headers.get(TIME_LEFT, ""));
        Integer endpoints = Ints.tryParse(headers.get(ENDPOINTS_LEFT, ""));
        Long version = Longs.tryParse(headers.get(VERSION, ""));
        if (timeLeft == null || endpoints == null || version == null || !headers.contains(FROM)) {
            throw new InvalidCallException("a request of another host lacks its headers");
        }
        return new Hop(
                headers.get(FROM),
                Optional.ofNullable(headers.get(ACCOUNT)),
                Duration.ofMillis(Math.max(1, timeLeft)),
                endpoints,
                version,
                Optional.ofNullable(headers.get(RESUME_AFTER)));
    }

    /**
     * Marks an answer as one of this host itself.
     *
     * @param sent whether the request had reached an endpoint, which then refused it
     */
    static void markRefusal(HttpHeaders headers, ErrorKind kind, boolean sent) {
        headers.set(REFUSAL, kind.code());
        if (sent) {
            headers.set(SENT, 1);
        }
    }

    /** Returns what the other host says if the answer is its own. */
    static Optional<HopRefusal> refusalOf(HttpResponse response) {
        return Optional.ofNullable(response.headers().get(REFUSAL))
                .map(word -> new HopRefusal(
                        kindOf(word.toUpperCase(Locale.ROOT)),
                        response.headers().contains(SENT)));
    }

    /**
     * Another host's own answer.
     *
     * @param kind kind of error
     * @param sent whether an endpoint had got the request
     */
    record HopRefusal(ErrorKind kind, boolean sent) {

        /** Returns what the answer means for a repeat. */
        RetryPolicy.FailureKind repeatKind() {
            if (kind.executionStatus() != ExecutionStatus.NOT_RUN) {
                return RetryPolicy.FailureKind.MAY_HAVE_RUN;
            }
            return sent ? RetryPolicy.FailureKind.REFUSED : RetryPolicy.FailureKind.NOT_SENT;
        }
    }

    private static ErrorKind kindOf(String name) {
        for (ErrorKind kind : ErrorKind.values()) {
            if (kind.name().equals(name)) {
                return kind;
            }
        }
        return ErrorKind.INTERNAL;
    }

    /** Removes the headers of hosts from an answer that goes to a caller. */
    static void strip(HttpHeaders headers) {
        headers.remove(REFUSAL);
        headers.remove(SENT);
    }

    /**
     * What a host tells another about a request that it passes on.
     *
     * @param from the host that passes it on
     * @param account client account that holds the caller's key
     * @param timeLeft time until the caller gets its last answer
     * @param endpointsLeft endpoints to which it may be sent
     * @param version configuration that admitted it
     * @param resumeAfter id of the last event that the caller has
     */
    record Hop(
            String from,
            Optional<String> account,
            Duration timeLeft,
            int endpointsLeft,
            long version,
            Optional<String> resumeAfter) {}
}
