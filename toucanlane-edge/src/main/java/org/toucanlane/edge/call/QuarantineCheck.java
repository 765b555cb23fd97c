package org.toucanlane.edge.call;

import com.google.common.base.Preconditions;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.policy.quarantine.SegmentQuarantine;

/**
 * Refuses requests whose prompts the quarantine holds back.
 *
 * <p>Invariant: {@link #check} is called once for each attempt, since an attempt may be a trial of the quarantine. Used
 * on the host's event loop only.
 */
final class QuarantineCheck {

    private final SegmentQuarantine quarantine;

    QuarantineCheck(SegmentQuarantine quarantine) {
        this.quarantine = Preconditions.checkNotNull(quarantine, "quarantine");
    }

    /**
     * Checks a request that is about to be sent.
     *
     * @throws CallRefusedException if endpoints have crashed on a segment of its prompt
     */
    void check(AdmittedCall call) throws CallRefusedException {
        List<String> segments = call.sharedSegments();
        Optional<Duration> holdTime =
                segments.isEmpty() ? Optional.empty() : quarantine.holdTime(segments, System.nanoTime());
        if (holdTime.isPresent()) {
            throw new CallRefusedException(
                    ErrorKind.PROMPT_QUARANTINED,
                    holdTime.get(),
                    "held back for " + holdTime.get().toMillis()
                            + " ms, since endpoints crashed on a segment of the prompt: "
                            + String.join(", ", segments));
        }
    }

    /** Returns whether {@link #check} would refuse the request now. */
    boolean isHeld(AdmittedCall call) {
        return quarantine.isHeld(call.sharedSegments(), System.nanoTime());
    }
}
