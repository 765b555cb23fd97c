package org.toucanlane.edge.call;

import com.google.common.base.Preconditions;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.policy.quarantine.SegmentQuarantine;

/**
 * Refuses requests that the quarantine holds back, for themselves or for a segment of their prompts.
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
     * @param suspects ids of its prompt segments that other requests may share, and its fingerprint
     * @throws CallRefusedException if endpoints have crashed on one of these
     */
    void check(List<String> suspects) throws CallRefusedException {
        Optional<Duration> holdTime = quarantine.holdTime(suspects, System.nanoTime());
        if (holdTime.isPresent()) {
            throw new CallRefusedException(
                    ErrorKind.PROMPT_QUARANTINED,
                    holdTime.get(),
                    "held back for " + holdTime.get().toMillis()
                            + " ms, since endpoints crashed on the request or on a segment of its prompt: "
                            + String.join(", ", suspects));
        }
    }

    /**
     * Checks a request for which no destination has been chosen yet. As opposed to {@link #check}, this isn't a trial of a
     * suspected prompt.
     *
     * @throws CallRefusedException as {@link #check}
     */
    void checkHeld(List<String> suspects) throws CallRefusedException {
        if (isHeld(suspects)) {
            check(suspects);
        }
    }

    /** Returns whether {@link #check} would refuse the request now. */
    boolean isHeld(List<String> suspects) {
        return quarantine.isHeld(suspects, System.nanoTime());
    }
}
