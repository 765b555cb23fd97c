package org.toucanlane.coordination.claim;

import com.google.common.base.Preconditions;
import com.google.protobuf.ByteString;

/**
 * The right to execute one keyed action once.
 *
 * @param key digest of the account and the caller's key
 * @param token unique identifier of the claim attempt
 */
public record Claim(ByteString key, String token) {

    /** Creates a claim. */
    public Claim {
        Preconditions.checkArgument(!key.isEmpty(), "key must not be empty");
        Preconditions.checkArgument(!token.isEmpty(), "token must not be empty");
    }
}
