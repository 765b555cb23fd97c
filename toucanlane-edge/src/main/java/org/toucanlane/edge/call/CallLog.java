package org.toucanlane.edge.call;

import com.google.common.collect.ObjectArrays;
import org.toucanlane.edge.telemetry.DecisionLog;
import org.toucanlane.policy.retry.RetryPolicy;

/**
 * Logs the decisions during one request.
 *
 * @param log decision log
 * @param call the request
 */
record CallLog(DecisionLog log, AdmittedCall call) {

    void recordAttemptFailed(
            Upstream upstream, RetryPolicy.FailureKind kind, CrashSuspects crashSuspects, String cause) {
        log.decision(
                "attempt_failed",
                "request",
                call.head().id(),
                "upstream",
                upstream.name(),
                "kind",
                kind,
                "fingerprint",
                crashSuspects.fingerprint(),
                "cause",
                cause);
    }

    void recordAlternativeRefused(CallRefusedException refusal) {
        log.decision("alternative_refused", "request", call.head().id(), "cause", String.valueOf(refusal.getMessage()));
    }

    /**
     * Records the end of the request.
     *
     * @param status HTTP status of the response, or 0 if it is incomplete
     * @param fields alternating names and values of what was measured
     */
    void recordEnd(String outcome, int status, AttemptGroup attempts, Object... fields) {
        Object[] identity = {
            "request",
            call.head().id(),
            "route",
            call.route().name(),
            "account",
            call.accountName(),
            "from",
            call.forwardedBy().orElse(""),
            "version",
            call.configurationVersion(),
            "status",
            status,
            "attempts",
            attempts.size(),
            "upstream",
            attempts.upstreamName()
        };
        log.decision("request_" + outcome, ObjectArrays.concat(identity, fields, Object.class));
    }

    void recordResumeIdIgnored(String id) {
        log.decision("resume_id_ignored", "request", call.head().id(), "id", id);
    }
}
