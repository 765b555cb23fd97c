package org.toucanlane.gateway.caller;

import com.google.common.base.Ticker;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bounds how many wrong secrets are tried for one key from one source.
 *
 * <p>Beyond the bound the key is not looked at for that source until a minute after the first wrong try. Other keys from
 * the same source, and the same key from elsewhere, are not affected. Remembers a bounded number of sources.
 * Thread-safe.
 */
@Singleton
public final class FailedAttemptLimiter {

    static final int MAX_FAILURES = 10;

    private static final Duration WINDOW = Duration.ofMinutes(1);
    private static final int MAX_COUNTERS = 10_000;

    private final Cache<SourceAndKey, AtomicInteger> failures;

    /** Creates a guard that has seen nothing. */
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

    /** Returns whether the key with the public part {@code keyId} may be tried from {@code source}. */
    boolean isAllowed(String source, String keyId) {
        AtomicInteger count = failures.getIfPresent(new SourceAndKey(source, keyId));
        return count == null || count.get() < MAX_FAILURES;
    }

    /** Notes a wrong try. */
    void recordFailure(String source, String keyId) {
        SourceAndKey guess = new SourceAndKey(source, keyId);
        AtomicInteger first = failures.asMap().putIfAbsent(guess, new AtomicInteger(1));
        if (first != null) {
            first.incrementAndGet();
        }
    }

    /** Returns how long to wait after too many wrong tries. */
    static Duration retryAfter() {
        return WINDOW;
    }

    private record SourceAndKey(String source, String keyId) {}
}
