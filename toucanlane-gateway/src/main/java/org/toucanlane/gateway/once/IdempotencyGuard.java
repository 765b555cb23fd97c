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
import org.toucanlane.gateway.dispatch.GatewayRequest;
import org.toucanlane.gateway.dispatch.GatewayResponse;

/**
 * Executes a non-repeatable request at most once per idempotency key across all hosts.
 *
 * <p>A claim on the key is written before the request is sent. The first response is stored, if it is small enough, and
 * returned to repeats. Repeatable requests and requests without a key are not affected. Thread-safe.
 */
@Singleton
public final class IdempotencyGuard {

    private static final Logger LOG = LoggerFactory.getLogger(IdempotencyGuard.class);
    private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final ClaimLog claims;

    /** Creates a guard that uses the claims in {@code claims}. */
    @Inject
    public IdempotencyGuard(ClaimLog claims) {
        this.claims = claims;
    }

    /**
     * Executes {@code call}, or returns the stored response if a request with the same idempotency key has completed.
     *
     * @throws RequestFailedException if the call fails, the key was used for a different request, no claim can be
     *     obtained, or the outcome of an earlier request with the key is unknown
     */
    public GatewayResponse run(GatewayRequest request, Call call) throws RequestFailedException {
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
        CompletableFuture<ClaimResult> future = claims.claim(key, digest);
        try {
            return future.get(CLAIM_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            future.thenAccept(this::releaseLateClaim);
            throw claimUnavailable(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            future.thenAccept(this::releaseLateClaim);
            throw claimUnavailable(e);
        }
    }

    /** Releases a claim that was granted after the timeout, so that a repeat by the caller can run. */
    private void releaseLateClaim(ClaimResult result) {
        if (result instanceof ClaimResult.Granted granted) {
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

    private GatewayResponse runUnderClaim(Claim claim, Call call) throws RequestFailedException {
        try (GatewayResponse answer = call.send()) {
            StoredResponse response = StoredResponse.read(answer);
            storeResponse(claim, response);
            return response;
        } catch (RequestFailedException e) {
            if (e.kind().executionStatus() == ExecutionStatus.NOT_RUN) {
                claims.release(claim);
            }
            throw e;
        }
    }

    /** Stores the response before it is returned to the caller, so that a repeat at any host finds it. */
    private void storeResponse(Claim claim, StoredResponse response) {
        byte[] encoded = response.isStorable()
                ? response.encode()
                : StoredResponse.oversizedPlaceholder(response.status()).encode();
        try {
            claims.finish(claim, encoded).get(STORE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.warn("failed to store an answer; repeats will be told that the outcome is unknown", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends the request. */
    @FunctionalInterface
    public interface Call {
        /** Sends the request and returns the response once its head has been received. */
        GatewayResponse send() throws RequestFailedException;
    }
}
