package org.toucanlane.policy.quarantine;

import com.google.common.base.Preconditions;
import java.time.Duration;
import java.util.List;

/**
 * What a host knows of prompt segments on which endpoints may have crashed, in a form that can be sent to other hosts.
 *
 * <p>Times are ages, since the clocks of hosts are not comparable. Merging the same evidence twice, or in another order,
 * has the same result. Immutable.
 *
 * @param crashes endpoints that crashed
 * @param clearances segments that were part of an answer that went on
 */
public record CrashEvidence(List<Crash> crashes, List<Clearance> clearances) {

    /** Copies the lists. */
    public CrashEvidence {
        crashes = List.copyOf(crashes);
        clearances = List.copyOf(clearances);
    }

    /** Returns whether there is nothing to tell. */
    public boolean isEmpty() {
        return crashes.isEmpty() && clearances.isEmpty();
    }

    /**
     * A crash of an endpoint.
     *
     * @param endpoint tag of the endpoint
     * @param age time since the crash
     * @param suspects requests whose answer had not begun, or had only just begun; of each one the ids of its prompt
     *     segments except the last, and its fingerprint
     */
    public record Crash(int endpoint, Duration age, List<List<String>> suspects) {

        /** Validates the age and copies the suspects. */
        public Crash {
            Preconditions.checkArgument(!age.isNegative(), "age must not be negative: %s", age);
            suspects = suspects.stream().map(List::copyOf).toList();
        }
    }

    /**
     * A segment that was part of an answer that went on.
     *
     * @param segment id of the segment
     * @param age time since the answer
     */
    public record Clearance(String segment, Duration age) {

        /** Validates the age. */
        public Clearance {
            Preconditions.checkArgument(!age.isNegative(), "age must not be negative: %s", age);
        }
    }
}
