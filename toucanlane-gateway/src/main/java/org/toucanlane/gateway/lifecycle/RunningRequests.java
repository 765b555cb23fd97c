package org.toucanlane.gateway.lifecycle;

import jakarta.inject.Singleton;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;

/**
 * The requests that this process is handling. Used to wait for them and to cancel those whose key is revoked.
 * Thread-safe.
 */
@Singleton
public final class RunningRequests {

    private final Set<Entry> entries = ConcurrentHashMap.newKeySet();

    /** Adds a request that was made with the key {@code keyId}, which is empty if no key was presented. */
    public Entry add(String keyId) {
        Entry entry = new Entry(keyId);
        entries.add(entry);
        return entry;
    }

    /** Returns the number of running requests. */
    public int count() {
        return entries.size();
    }

    /** Cancels the requests whose key is no longer valid. */
    public void cancelRevoked(Predicate<String> isValid) {
        entries.stream()
                .filter(entry -> !entry.keyId.isEmpty() && !isValid.test(entry.keyId))
                .forEach(Entry::cancel);
    }

    /** A running request. Closing it removes it. */
    public final class Entry implements AutoCloseable {

        private final String keyId;
        private final AtomicReference<Runnable> cancelAction = new AtomicReference<>();
        private volatile boolean keyRevoked;

        private Entry(String keyId) {
            this.keyId = keyId;
        }

        /** Sets the action that cancels the request when its key is revoked; runs at once if it already is. */
        public void onKeyRevoked(Runnable newAction) {
            cancelAction.set(newAction);
            if (keyRevoked) {
                runCancelAction();
            }
        }

        private void cancel() {
            keyRevoked = true;
            runCancelAction();
        }

        private void runCancelAction() {
            Runnable current = cancelAction.getAndSet(null);
            if (current != null) {
                current.run();
            }
        }

        /** Returns whether the key was revoked while the request was running. */
        public boolean isKeyRevoked() {
            return keyRevoked;
        }

        @Override
        public void close() {
            entries.remove(this);
        }
    }
}
