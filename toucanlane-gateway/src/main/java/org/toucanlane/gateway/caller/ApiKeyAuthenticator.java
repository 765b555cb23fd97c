package org.toucanlane.gateway.caller;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.util.Optional;
import org.toucanlane.domain.account.ApiKey;
import org.toucanlane.domain.account.ClientAccount;
import org.toucanlane.domain.account.KeyHasher;
import org.toucanlane.domain.configuration.ConfigurationSnapshot;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.outcome.RequestFailedException;
import org.toucanlane.gateway.configuration.ConfigurationManager;

/**
 * Authenticates API keys against the active configuration version. Thread-safe.
 */
@Singleton
public final class ApiKeyAuthenticator {

    private static final String SCHEME = "Bearer ";

    private final ConfigurationManager configuration;
    private final KeyHasher hasher;
    private final FailedAttemptLimiter failedAttempts;

    /** Creates an authenticator that uses the active configuration. */
    @Inject
    public ApiKeyAuthenticator(
            ConfigurationManager configuration, KeyHasher hasher, FailedAttemptLimiter failedAttempts) {
        this.configuration = configuration;
        this.hasher = hasher;
        this.failedAttempts = failedAttempts;
    }

    /** Returns whether {@code authorization}, the value of the header, is neither null nor blank. */
    public static boolean hasCredentials(String authorization) {
        return authorization != null && !authorization.isBlank();
    }

    /**
     * Returns the key presented in an {@code Authorization} header.
     *
     * @param source remote address of the request
     * @throws RequestFailedException if the key is missing, unknown or revoked, its secret is wrong, or {@code source}
     *     has tried too many wrong secrets for it
     */
    public ApiKey authenticate(String authorization, String source) throws RequestFailedException {
        String key = hasCredentials(authorization) && authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())
                ? authorization.substring(SCHEME.length()).trim()
                : "";
        ConfigurationSnapshot current = configuration.current();
        ApiKey known = KeyHasher.idOf(key)
                .flatMap(current.configuration()::key)
                .orElseThrow(ApiKeyAuthenticator::unauthenticated);
        if (!failedAttempts.isAllowed(source, known.id())) {
            throw new RequestFailedException(
                    ErrorKind.TOO_MANY_GUESSES,
                    "too many wrong tries of this key",
                    FailedAttemptLimiter.retryAfter(),
                    null);
        }
        if (!hasher.matches(key, known)) {
            failedAttempts.recordFailure(source, known.id());
            throw unauthenticated();
        }
        return known;
    }

    private static RequestFailedException unauthenticated() {
        return new RequestFailedException(ErrorKind.UNAUTHENTICATED, "the key is missing, unknown or withdrawn");
    }

    /**
     * Returns the account that a key belongs to.
     *
     * @throws RequestFailedException if the account no longer exists
     */
    public ClientAccount accountOf(ApiKey key) throws RequestFailedException {
        ClientAccount account =
                configuration.current().configuration().accounts().get(key.account());
        if (account == null) {
            throw new RequestFailedException(ErrorKind.UNAUTHENTICATED, "the key's account is gone");
        }
        return account;
    }

    /** Returns whether the key with the public id {@code keyId} exists in the active configuration. */
    public boolean isValid(String keyId) {
        return configuration
                .snapshot()
                .flatMap(current -> current.configuration().key(keyId))
                .isPresent();
    }

    /**
     * Checks that a request's key has not been revoked since the request was accepted. An empty {@code keyId}, for a
     * request without a key, is accepted.
     *
     * @throws RequestFailedException if the key has been revoked
     */
    public void checkNotRevoked(String keyId) throws RequestFailedException {
        if (!keyId.isEmpty() && !isValid(keyId)) {
            throw new RequestFailedException(ErrorKind.UNAUTHENTICATED, "the key was withdrawn");
        }
    }

    /**
     * Checks that the key with the public id {@code keyId} exists in the active configuration and belongs to
     * {@code account}.
     *
     * @throws RequestFailedException if it does not
     */
    public void checkOwnedBy(String keyId, String account) throws RequestFailedException {
        Optional<ApiKey> key = configuration.current().configuration().key(keyId);
        if (key.filter(known -> known.account().equals(account)).isEmpty()) {
            throw new RequestFailedException(ErrorKind.UNAUTHENTICATED, "the key is not in force here");
        }
    }
}
