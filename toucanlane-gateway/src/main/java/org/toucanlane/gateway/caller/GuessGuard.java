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
public final class GuessGuard {

    static final int MAX_WRONG = 10;

    private static final Duration REMEMBERED = Duration.ofMinutes(1);
    private static final int MAX_SOURCES = 10_000;

    private final Cache<Guess, AtomicInteger> wrong;

    /** Creates a guard that has seen nothing. */
    @Inject
    public GuessGuard() {
        this(Ticker.systemTicker());
    }

    GuessGuard(Ticker ticker) {
        this.wrong = CacheBuilder.newBuilder()
                .expireAfterWrite(REMEMBERED)
                .maximumSize(MAX_SOURCES)
                .ticker(ticker)
                .build();
    }

    /** Returns whether the key with the public part {@code keyId} may be tried from {@code source}. */
    boolean mayTry(String source, String keyId) {
        AtomicInteger count = wrong.getIfPresent(new Guess(source, keyId));
        return count == null || count.get() < MAX_WRONG;
    }

    /** Notes a wrong try. */
    void wrong(String source, String keyId) {
        Guess guess = new Guess(source, keyId);
        AtomicInteger first = wrong.asMap().putIfAbsent(guess, new AtomicInteger(1));
        if (first != null) {
            first.incrementAndGet();
        }
    }

    /** Returns how long to wait after too many wrong tries. */
    static Duration pause() {
        return REMEMBERED;
    }

    private record Guess(String source, String keyId) {}
}
