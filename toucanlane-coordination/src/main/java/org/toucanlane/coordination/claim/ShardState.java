package org.toucanlane.coordination.claim;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.LinkedHashMap;
import java.util.Map;
import org.toucanlane.coordination.claim.proto.ClaimRecord;
import org.toucanlane.coordination.claim.proto.ClaimShard;

/**
 * The claims of one shard at one revision, including changes that are not yet written.
 *
 * <p>Not thread-safe; used by one batch at a time.
 */
final class ShardState {

    /** Maximum size of an encoded shard in bytes. The key-value service accepts values of up to one megabyte. */
    static final int MAX_ENCODED_BYTES = 900_000;

    private final long revision;
    private final Map<ByteString, ClaimRecord> claims;
    private int encodedBytes;
    private boolean changed;

    private ShardState(long revision, Map<ByteString, ClaimRecord> claims, int bytes) {
        this.revision = revision;
        this.claims = claims;
        this.encodedBytes = bytes;
    }

    static ShardState empty() {
        return new ShardState(0, new LinkedHashMap<>(), 0);
    }

    /** Decodes a shard and drops expired claims. */
    static ShardState decode(long revision, byte[] value, long nowMillis) throws InvalidProtocolBufferException {
        Map<ByteString, ClaimRecord> claims = new LinkedHashMap<>();
        int bytes = 0;
        for (ClaimRecord claim : ClaimShard.parseFrom(value).getClaimsList()) {
            if (claim.getExpiresAtMillis() > nowMillis) {
                claims.put(claim.getKey(), claim);
                bytes += encodedSize(claim);
            }
        }
        return new ShardState(revision, claims, bytes);
    }

    private static int encodedSize(ClaimRecord claim) {
        int lengthPrefix = 4;
        return claim.getSerializedSize() + lengthPrefix;
    }

    /** Returns the result of {@code request} against this state, and adds its claim if the key is free. */
    ClaimResult claim(ClaimRecord request) {
        ClaimRecord existing = claims.get(request.getKey());
        if (existing == null) {
            return add(request);
        }
        if (existing.getToken().equals(request.getToken())) {
            return new ClaimResult.Granted(new Claim(request.getKey(), request.getToken()));
        }
        if (!existing.getRequestDigest().equals(request.getRequestDigest())) {
            return new ClaimResult.Mismatch();
        }
        return existing.getFinished()
                ? new ClaimResult.Finished(existing.getAnswer().toByteArray())
                : new ClaimResult.Held(existing.getOwner());
    }

    private ClaimResult add(ClaimRecord request) {
        int size = encodedSize(request);
        if (encodedBytes + size > MAX_ENCODED_BYTES) {
            return new ClaimResult.Full();
        }
        claims.put(request.getKey(), request);
        encodedBytes += size;
        changed = true;
        return new ClaimResult.Granted(new Claim(request.getKey(), request.getToken()));
    }

    /**
     * Stores {@code answer} with {@code claim}. Leaves the claim unfinished if the shard has no space for the answer.
     */
    void finish(Claim claim, ByteString answer) {
        ClaimRecord existing = claims.get(claim.key());
        if (existing == null || existing.getFinished() || !existing.getToken().equals(claim.token())) {
            return;
        }
        if (encodedBytes + answer.size() > MAX_ENCODED_BYTES) {
            return;
        }
        ClaimRecord finished =
                existing.toBuilder().setFinished(true).setAnswer(answer).build();
        claims.put(claim.key(), finished);
        encodedBytes += encodedSize(finished) - encodedSize(existing);
        changed = true;
    }

    /** Removes {@code claim}. The caller guarantees that its action did not run. */
    void release(Claim claim) {
        ClaimRecord existing = claims.get(claim.key());
        if (existing != null && !existing.getFinished() && existing.getToken().equals(claim.token())) {
            claims.remove(claim.key());
            encodedBytes -= encodedSize(existing);
            changed = true;
        }
    }

    long revision() {
        return revision;
    }

    boolean isChanged() {
        return changed;
    }

    byte[] encode() {
        return ClaimShard.newBuilder().addAllClaims(claims.values()).build().toByteArray();
    }
}
