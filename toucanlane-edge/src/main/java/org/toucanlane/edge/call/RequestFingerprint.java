package org.toucanlane.edge.call;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Identifies requests that are repeated.
 *
 * <p>Requests with the same method, path, query, account and body have the same fingerprint on all hosts; their ids and
 * other headers don't matter. Stateless and thread-safe.
 */
final class RequestFingerprint {

    /** Equal for all hosts; a change makes the evidence of earlier versions useless. */
    private static final HashFunction HASH = Hashing.murmur3_128(0);

    /** Distinguishes fingerprints from the ids of prompt segments, which are hexadecimal numbers. */
    private static final String PREFIX = "r";

    /** Number of hexadecimal digits; makes chance collisions between the requests of a deployment negligible. */
    private static final int DIGITS = 16;

    private static final byte SEPARATOR = 0;

    private RequestFingerprint() {}

    /**
     * Returns the fingerprint of a request.
     *
     * @param uri path and query
     * @param body whole body, whose reader index stays as it is
     */
    static String of(HttpMethod method, String uri, Optional<String> account, ByteBuf body) {
        Hasher hasher = HASH.newHasher();
        putText(hasher, method.name());
        putText(hasher, uri);
        putText(hasher, account.orElse(""));
        for (ByteBuffer part : body.nioBuffers()) {
            hasher.putBytes(part);
        }
        return PREFIX + hasher.hash().toString().substring(0, DIGITS);
    }

    private static void putText(Hasher hasher, String text) {
        hasher.putString(text, StandardCharsets.UTF_8).putByte(SEPARATOR);
    }
}
