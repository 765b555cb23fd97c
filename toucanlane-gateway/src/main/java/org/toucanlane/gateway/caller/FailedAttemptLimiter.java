package org.toucanlane.gateway.caller;

import com.google.common.base.Ticker;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limits the number of wrong secrets that may be tried for a key from one source address.
 *
 * <p>When the limit is reached, the key is rejected from that source until one minute after the first failure. Other
 * keys from the same source, and the same key from other sources, are not affected. The number of counters is bounded.
 * Thread-safe.
 */
@Singleton
public final class FailedAttemptLimiter {

    static final int MAX_FAILURES = 10;

    private static final Duration WINDOW = Duration.ofMinutes(1);
    private static final int MAX_COUNTERS = 10_000;

    private final Cache<SourceAndKey, AtomicInteger> failures;

    /** Creates a limiter without recorded failures. */
    @Inject
    public FailedAttemptLimiter() {
        this(Ticker.systemTicker());
    }

    FailedAttemptLimiter(Ticker ticker) {
        this.failures = CacheBuilder.newBuilder()
                .expireAfterWrite(WINDOW)
                .maximumSize(MAX_COUNTERS)
                .ticker(ticker)
                .build();
    }

    /** Returns whether {@code source} may try a secret for the key with the public id {@code keyId}. */
    boolean isAllowed(String source, String keyId) {
        AtomicInteger count = failures.getIfPresent(new SourceAndKey(source, keyId));
        return count == null || count.get() < MAX_FAILURES;
    }

    /** Records a wrong secret for the key {@code keyId} from {@code source}. */
    void recordFailure(String source, String keyId) {
        SourceAndKey sourceAndKey = new SourceAndKey(source, keyId);
        AtomicInteger existing = failures.asMap().putIfAbsent(sourceAndKey, new AtomicInteger(1));
        if (existing != null) {
            existing.incrementAndGet();
        }
    }

    /** Returns how long a caller should wait after too many failures. */
    static Duration retryAfter() {
        return WINDOW;
    }

    private record SourceAndKey(String source, String keyId) {}
}
