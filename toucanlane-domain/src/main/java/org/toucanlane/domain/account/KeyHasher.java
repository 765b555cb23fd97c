package org.toucanlane.domain.account;

import com.google.common.base.Preconditions;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Optional;

/**
 * Generates API keys and verifies them against their keyed hashes (HMAC-SHA-256, RFC 2104).
 *
 * <p>A key has the format {@code tl-<id>-<secret>}. Hashes are compared in constant time. Thread-safe.
 */
public final class KeyHasher {

    private static final String PREFIX = "tl-";
    private static final int ID_BYTES = 6;
    private static final int SECRET_BYTES = 32;
    private static final BaseEncoding HEX = BaseEncoding.base16().lowerCase();

    private final HashFunction hmac;

    private KeyHasher(byte[] hashSecret) {
        this.hmac = Hashing.hmacSha256(hashSecret);
    }

    /**
     * Creates a hasher with the fleet's hash secret.
     *
     * @throws IllegalArgumentException if the secret is empty
     */
    public static KeyHasher of(String hashSecret) {
        Preconditions.checkArgument(!hashSecret.isEmpty(), "hash secret must not be empty");
        return new KeyHasher(hashSecret.getBytes(StandardCharsets.UTF_8));
    }

    /** Generates a new key. It can't be recovered from its hash. */
    public static String newKey(SecureRandom random) {
        return PREFIX + randomHex(random, ID_BYTES) + '-' + randomHex(random, SECRET_BYTES);
    }

    private static String randomHex(SecureRandom random, int size) {
        byte[] bytes = new byte[size];
        random.nextBytes(bytes);
        return HEX.encode(bytes);
    }

    /** Returns the public part of a key, or empty if {@code key} is malformed. */
    public static Optional<String> idOf(String key) {
        int end = key.indexOf('-', PREFIX.length());
        boolean wellFormed = key.startsWith(PREFIX) && end > PREFIX.length() && end < key.length() - 1;
        return wellFormed ? Optional.of(key.substring(PREFIX.length(), end)) : Optional.empty();
    }

    /** Returns the keyed hash of a whole key, in lower-case hexadecimal digits. */
    public String hash(String key) {
        return hmac.hashString(key, StandardCharsets.UTF_8).toString();
    }

    /** Returns whether the hash of {@code key} equals that of {@code storedKey}. */
    public boolean matches(String key, ApiKey storedKey) {
        byte[] actual = hash(key).getBytes(StandardCharsets.US_ASCII);
        byte[] expected = storedKey.hash().getBytes(StandardCharsets.US_ASCII);
        return MessageDigest.isEqual(actual, expected);
    }
}
