package org.toucanlane.edge.call;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.toucanlane.edge.fleet.EndpointHandle;
import org.toucanlane.policy.placement.EndpointLoad;

/**
 * Logs and counts how the attempts of one request end that were made beside a silent one. Used on the host's event loop
 * only.
 */
final class AlternativeLog {

    private final CallContext context;
    private final AdmittedCall admitted;
    private String silent = "";
    private String alternative = "";
    private long silentMillis;
    private long overloadedMillis;
    private Optional<EndpointLoad> silentLoad = Optional.empty();
    private Optional<EndpointLoad> alternativeLoad = Optional.empty();
    private long sentAt;

    AlternativeLog(CallContext context, AdmittedCall admitted) {
        this.context = context;
        this.admitted = admitted;
    }

    /**
     * Records that an alternative is about to be sent.
     *
     * @param silentSince monotonic time of the latest progress of the attempt to {@code silentUpstream}
     */
    void recordSent(Upstream silentUpstream, Upstream alternativeUpstream, long silentSince) {
        sentAt = System.nanoTime();
        silent = silentUpstream.name();
        alternative = alternativeUpstream.name();
        silentMillis = TimeUnit.NANOSECONDS.toMillis(sentAt - silentSince);
        overloadedMillis =
                context.router().overloadDuration(admitted.service(), sentAt).toMillis();
        silentLoad = loadOf(silent);
        alternativeLoad = loadOf(alternative);
    }

    private Optional<EndpointLoad> loadOf(String endpoint) {
        return context.router().endpoint(endpoint).map((EndpointHandle known) -> known.load(sentAt));
    }

    /** Records that at most one of the two attempts is left. */
    void recordEnd(Result result) {
        long bothNanos = System.nanoTime() - sentAt;
        context.metrics().recordAlternative(admitted.service(), result.code, bothNanos);
        context.log()
                .decision(
                        "alternative_ended",
                        "request",
                        admitted.head().id(),
                        "result",
                        result.code,
                        "upstream",
                        silent,
                        "alternative",
                        alternative,
                        "silent_ms",
                        silentMillis,
                        "both_ms",
                        TimeUnit.NANOSECONDS.toMillis(bothNanos),
                        "overloaded_ms",
                        overloadedMillis,
                        "running",
                        silentLoad.map(EndpointLoad::running).orElse(-1),
                        "alternative_running",
                        alternativeLoad.map(EndpointLoad::running).orElse(-1),
                        "slots",
                        alternativeLoad.map(EndpointLoad::slots).orElse(-1));
    }

    /** How two attempts in progress became one or none. */
    enum Result {
        /** The alternative answered, and the silent attempt was cancelled. */
        ALTERNATIVE_ANSWERED("alternative_answered"),
        /** The silent attempt answered after all, and the alternative was cancelled. */
        SILENT_ANSWERED("silent_answered"),
        ALTERNATIVE_FAILED("alternative_failed"),
        SILENT_FAILED("silent_failed"),
        /** The request ended before either of them answered. */
        CANCELLED("cancelled");

        private final String code;

        Result(String code) {
            this.code = code;
        }
    }
}
