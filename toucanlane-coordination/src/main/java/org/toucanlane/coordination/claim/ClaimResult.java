package org.toucanlane.coordination.claim;

/** What came of an attempt to claim. Immutable. */
public sealed interface ClaimResult {

    /** The caller holds the claim and may run the action, once. */
    record Granted(Claim claim) implements ClaimResult {}

    /** The action ran before; {@code answer} is what it answered, and must not be changed. */
    record Finished(byte[] answer) implements ClaimResult {}

    /** Another attempt holds the claim; whether its action ran isn't known. */
    record Held(String owner) implements ClaimResult {}

    /** The key was used for another request before. */
    record Mismatch() implements ClaimResult {}

    /** The log has no room for another claim; nothing was written. */
    record Full() implements ClaimResult {}
}
