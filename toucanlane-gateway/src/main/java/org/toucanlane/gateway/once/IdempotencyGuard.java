package org.toucanlane.gateway.once;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucanlane.coordination.claim.Claim;
import org.toucanlane.coordination.claim.ClaimLog;
import org.toucanlane.coordination.claim.ClaimResult;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.outcome.Ran;
import org.toucanlane.domain.outcome.RequestFailedException;
import org.toucanlane.gateway.dispatch.Answer;
import org.toucanlane.gateway.dispatch.GatewayRequest;

/**
 * Runs a call that may not be repeated at most once for each of its idempotency keys, over the whole fleet.
 *
 * <p>The claim is written before the call is sent. The first answer is kept, if it is short enough, and given to
 * repeats. Other calls pass through. Thread-safe.
 */
@Singleton
public final class IdempotencyGuard {

    private static final Logger LOG = LoggerFactory.getLogger(IdempotencyGuard.class);
    private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final ClaimLog claims;

    /** Creates a guard over the fleet's claims. */
    @Inject
    public IdempotencyGuard(ClaimLog claims) {
        this.claims = claims;
    }

    /**
     * Runs {@code call} unless a request under the same idempotency key was run before.
     *
     * @throws RequestFailedException if the call fails, or whether it ran before cannot be told
     */
    public Answer run(GatewayRequest request, Call call) throws RequestFailedException {
        if (request.isRepeatable() || request.idempotencyKey().isEmpty()) {
            return call.send();
        }
        ByteString key = ClaimLog.keyOf(
                request.account().name(), request.idempotencyKey().get());
        ClaimResult result = claim(key, requestDigest(request));
        if (result instanceof ClaimResult.Granted granted) {
            return runUnderClaim(granted.claim(), call);
        }
        if (result instanceof ClaimResult.Finished finished) {
            return StoredResponse.decode(finished.answer());
        }
        throw notGranted(result);
    }

    private static RequestFailedException notGranted(ClaimResult result) {
        if (result instanceof ClaimResult.Mismatch) {
            return new RequestFailedException(
                    ErrorKind.IDEMPOTENCY_KEY_REUSED, "the idempotency key came with another request before");
        }
        if (result instanceof ClaimResult.Full) {
            return new RequestFailedException(ErrorKind.CLAIMS_FULL, "no room for another idempotency key");
        }
        return new RequestFailedException(
                ErrorKind.REPEAT_UNRESOLVED,
                "an earlier request under this idempotency key has not ended, or its outcome was lost",
                RETRY_AFTER,
                null);
    }

    private static ByteString requestDigest(GatewayRequest request) {
        byte[] digest = Hashing.sha256()
                .newHasher()
                .putString(request.method() + ' ' + request.route().name() + ' ', StandardCharsets.UTF_8)
                .putString(request.path() + ' ', StandardCharsets.UTF_8)
                .putBytes(request.body())
                .hash()
                .asBytes();
        return ByteString.copyFrom(digest);
    }

    private ClaimResult claim(ByteString key, ByteString digest) throws RequestFailedException {
        CompletableFuture<ClaimResult> claiming = claims.claim(key, digest);
        try {
            return claiming.get(CLAIM_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            claiming.thenAccept(this::releaseLateClaim);
            throw claimUnavailable(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            claiming.thenAccept(this::releaseLateClaim);
            throw claimUnavailable(e);
        }
    }

    /** Frees a claim that came too late to be used, so that the caller's repeat can run. */
    private void releaseLateClaim(ClaimResult late) {
        if (late instanceof ClaimResult.Granted granted) {
            claims.release(granted.claim());
        }
    }

    private static RequestFailedException claimUnavailable(Exception cause) {
        return new RequestFailedException(
                ErrorKind.CLAIM_UNAVAILABLE,
                "this request was not sent on, but an earlier one under its idempotency key may have run",
                RETRY_AFTER,
                cause);
    }

    private Answer runUnderClaim(Claim claim, Call call) throws RequestFailedException {
        try (Answer answer = call.send()) {
            StoredResponse kept = StoredResponse.read(answer);
            storeResponse(claim, kept);
            return kept;
        } catch (RequestFailedException e) {
            if (e.kind().ran() == Ran.NOT_RUN) {
                claims.release(claim);
            }
            throw e;
        }
    }

    /** Writes the answer down before the caller gets it, so that a repeat at any host finds it. */
    private void storeResponse(Claim claim, StoredResponse answer) {
        byte[] encoded = answer.isStorable()
                ? answer.encode()
                : StoredResponse.oversizedPlaceholder(answer.status()).encode();
        try {
            claims.finish(claim, encoded).get(STORE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.warn("an answer could not be kept; repeats will be told that its outcome is unknown", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends the call. */
    @FunctionalInterface
    public interface Call {
        /** Returns the head of the answer. */
        Answer send() throws RequestFailedException;
    }
}
