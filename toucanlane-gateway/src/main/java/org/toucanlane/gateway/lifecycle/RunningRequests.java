package org.toucanlane.gateway.lifecycle;

import jakarta.inject.Singleton;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;

/**
 * The requests that this process works on, so that they can be waited for and ended. Thread-safe.
 */
@Singleton
public final class RunningRequests {

    private final Set<Entry> entries = ConcurrentHashMap.newKeySet();

    /** Adds a request that came with the key {@code keyId}; empty if it came without one. */
    public Entry add(String keyId) {
        Entry entry = new Entry(keyId);
        entries.add(entry);
        return entry;
    }

    /** Returns how many there are. */
    public int count() {
        return entries.size();
    }

    /** Ends the requests whose key is no longer valid. */
    public void cancelRevoked(Predicate<String> isValid) {
        entries.stream()
                .filter(entry -> !entry.keyId.isEmpty() && !isValid.test(entry.keyId))
                .forEach(Entry::cancel);
    }

    /** One request. */
    public final class Entry implements AutoCloseable {

        private final String keyId;
        private final AtomicReference<Runnable> cancelAction = new AtomicReference<>();
        private volatile boolean keyRevoked;

        private Entry(String keyId) {
            this.keyId = keyId;
        }

        /** Sets how to end the request when its key is withdrawn; runs at once if it has been. */
        public void onKeyRevoked(Runnable end) {
            cancelAction.set(end);
            if (keyRevoked) {
                runCancelAction();
            }
        }

        private void cancel() {
            keyRevoked = true;
            runCancelAction();
        }

        private void runCancelAction() {
            Runnable end = cancelAction.getAndSet(null);
            if (end != null) {
                end.run();
            }
        }

        /** Returns whether the key was withdrawn while the request ran. */
        public boolean isKeyRevoked() {
            return keyRevoked;
        }

        @Override
        public void close() {
            entries.remove(this);
        }
    }
}
