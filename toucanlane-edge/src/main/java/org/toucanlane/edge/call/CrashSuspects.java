package org.toucanlane.edge.call;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.toucanlane.domain.serving.ServingAccount;
import org.toucanlane.edge.http.InboundRequest;

/**
 * The parts of a request to which the crash of an endpoint that had it may be due. Immutable.
 *
 * @param fingerprint identifies the whole request
 * @param ids ids of the prompt segments that other requests may share, in order, and last the fingerprint
 */
record CrashSuspects(String fingerprint, List<String> ids) {

    static CrashSuspects of(InboundRequest inbound, AdmittedCall admitted) {
        String fingerprint = RequestFingerprint.of(
                inbound.head().method(),
                inbound.head().uri(),
                admitted.account().map(ServingAccount::name),
                inbound.body());
        return new CrashSuspects(
                fingerprint,
                ImmutableList.<String>builder()
                        .addAll(admitted.sharedSegments())
                        .add(fingerprint)
                        .build());
    }
}
