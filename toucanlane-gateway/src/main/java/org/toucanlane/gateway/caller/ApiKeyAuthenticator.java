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
 * The keys in force. Every question is answered from the newest version of the configuration. Thread-safe.
 */
@Singleton
public final class ApiKeyAuthenticator {

    private static final String SCHEME = "Bearer ";

    private final ConfigurationManager configuration;
    private final KeyHasher hasher;
    private final FailedAttemptLimiter failedAttempts;

    /** Creates a ring over the configuration in force. */
    @Inject
    public ApiKeyAuthenticator(ConfigurationManager configuration, KeyHasher hasher, FailedAttemptLimiter guesses) {
        this.configuration = configuration;
        this.hasher = hasher;
        this.failedAttempts = guesses;
    }

    /** Returns whether an {@code Authorization} header presents anything. */
    public static boolean hasCredentials(String authorization) {
        return authorization != null && !authorization.isBlank();
    }

    /**
     * Returns the key that an {@code Authorization} header presents.
     *
     * @param source address that the request came from
     * @throws RequestFailedException if there is none, it isn't in force, or it was tried too often from there
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
     * @throws RequestFailedException if the account is gone
     */
    public ClientAccount accountOf(ApiKey key) throws RequestFailedException {
        ClientAccount account =
                configuration.current().configuration().accounts().get(key.account());
        if (account == null) {
            throw new RequestFailedException(ErrorKind.UNAUTHENTICATED, "the key's account is gone");
        }
        return account;
    }

    /** Returns whether the key with the public part {@code keyId} is in force. */
    public boolean isValid(String keyId) {
        return configuration
                .snapshot()
                .flatMap(current -> current.configuration().key(keyId))
                .isPresent();
    }

    /**
     * Checks that a request's key has not been withdrawn since it came; a request without a key passes.
     *
     * @throws RequestFailedException if it has been
     */
    public void checkNotRevoked(String keyId) throws RequestFailedException {
        if (!keyId.isEmpty() && !isValid(keyId)) {
            throw new RequestFailedException(ErrorKind.UNAUTHENTICATED, "the key was withdrawn");
        }
    }

    /**
     * Checks that the key with the public part {@code keyId} is in force and belongs to {@code account}.
     *
     * @throws RequestFailedException if not
     */
    public void checkOwnedBy(String keyId, String account) throws RequestFailedException {
        Optional<ApiKey> key = configuration.current().configuration().key(keyId);
        if (key.filter(known -> known.account().equals(account)).isEmpty()) {
            throw new RequestFailedException(ErrorKind.UNAUTHENTICATED, "the key is not in force here");
        }
    }
}
