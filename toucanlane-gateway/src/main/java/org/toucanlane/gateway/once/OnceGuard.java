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
import org.toucanlane.domain.outcome.ExecutionStatus;
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
public final class OnceGuard {

    private static final Logger LOG = LoggerFactory.getLogger(OnceGuard.class);
    private static final Duration CLAIM_PATIENCE = Duration.ofSeconds(5);
    private static final Duration FINISH_PATIENCE = Duration.ofSeconds(3);
    private static final Duration REPEAT_AFTER = Duration.ofSeconds(1);

    private final ClaimLog claims;

    /** Creates a guard over the fleet's claims. */
    @Inject
    public OnceGuard(ClaimLog claims) {
        this.claims = claims;
    }

    /**
     * Runs {@code call} unless a request under the same idempotency key was run before.
     *
     * @throws RequestFailedException if the call fails, or whether it ran before cannot be told
     */
    public Answer run(GatewayRequest request, Call call) throws RequestFailedException {
        if (request.isRepeatable() || request.idempotencyKey().isEmpty()) {
            return call.open();
        }
        ByteString key = ClaimLog.keyOf(
                request.account().name(), request.idempotencyKey().get());
        ClaimResult result = claim(key, digest(request));
        if (result instanceof ClaimResult.Granted granted) {
            return runClaimed(granted.claim(), call);
        }
        if (result instanceof ClaimResult.Finished finished) {
            return KeptAnswer.decode(finished.answer());
        }
        throw refusal(result);
    }

    private static RequestFailedException refusal(ClaimResult result) {
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
                REPEAT_AFTER,
                null);
    }

    private static ByteString digest(GatewayRequest request) {
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
            return claiming.get(CLAIM_PATIENCE.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            claiming.thenAccept(this::releaseUnused);
            throw unavailable(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            claiming.thenAccept(this::releaseUnused);
            throw unavailable(e);
        }
    }

    /** Frees a claim that came too late to be used, so that the caller's repeat can run. */
    private void releaseUnused(ClaimResult late) {
        if (late instanceof ClaimResult.Granted granted) {
            claims.release(granted.claim());
        }
    }

    private static RequestFailedException unavailable(Exception cause) {
        return new RequestFailedException(
                ErrorKind.CLAIM_UNAVAILABLE,
                "this request was not sent on, but an earlier one under its idempotency key may have run",
                REPEAT_AFTER,
                cause);
    }

    private Answer runClaimed(Claim claim, Call call) throws RequestFailedException {
        try (Answer answer = call.open()) {
            KeptAnswer kept = KeptAnswer.read(answer);
            keep(claim, kept);
            return kept;
        } catch (RequestFailedException e) {
            if (e.kind().executionStatus() == ExecutionStatus.NOT_RUN) {
                claims.release(claim);
            }
            throw e;
        }
    }

    /** Writes the answer down before the caller gets it, so that a repeat at any host finds it. */
    private void keep(Claim claim, KeptAnswer answer) {
        byte[] encoded = answer.isShort()
                ? answer.encode()
                : KeptAnswer.tooLong(answer.status()).encode();
        try {
            claims.finish(claim, encoded).get(FINISH_PATIENCE.toMillis(), TimeUnit.MILLISECONDS);
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
        Answer open() throws RequestFailedException;
    }
}
