package org.toucanlane.coordination.claim;

/** The result of an operation on a claim. Immutable. */
public sealed interface ClaimResult {

    /** The caller holds the claim and may execute the action once. */
    record Granted(Claim claim) implements ClaimResult {}

    /** The action has already run; {@code answer} is its stored answer and must not be modified. */
    record Finished(byte[] answer) implements ClaimResult {}

    /** Another attempt holds the claim; whether its action ran is unknown. */
    record Held(String owner) implements ClaimResult {}

    /** The key has already been used for a different request. */
    record Mismatch() implements ClaimResult {}

    /** The shard has no space for another claim; nothing was written. */
    record Full() implements ClaimResult {}
}
