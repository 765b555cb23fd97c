package org.toucanlane.coordination.store;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * An in-memory store that runs a script before each call and injects the fault that the script returns.
 *
 * <p>The script can also run concurrent operations at that point. Not thread-safe.
 */
public final class FaultyStore implements KeyValueStore {

    private final Map<String, VersionedValue> values = new HashMap<>();
    private Runnable delayedWrite = () -> {};
    private Script script = write -> Fault.NONE;
    private long revision;

    /** The fault injected into a call. */
    public enum Fault {
        NONE,
        /** The request is lost; the call has no effect. */
        REQUEST_LOST,
        /** The call takes effect, but its response is lost. */
        RESPONSE_LOST,
        /** The response is lost, and the call takes effect only after the next call of any client. */
        DELAYED,
        /** The call is rejected by the rate limit. */
        RATE_LIMITED
    }

    /** Selects the fault for each call. */
    @FunctionalInterface
    public interface Script {
        Fault nextFault(boolean write);
    }

    /** Sets the script for subsequent calls. */
    public void setScript(Script newScript) {
        script = newScript;
    }

    @Override
    public Optional<VersionedValue> get(String key) throws StoreException {
        if (script.nextFault(false) != Fault.NONE) {
            throw StoreException.ambiguous("no response", null);
        }
        Optional<VersionedValue> value = Optional.ofNullable(values.get(key));
        applyDelayedWrite();
        return value;
    }

    @Override
    public long compareAndSwap(String key, byte[] value, long expected) throws StoreException, StoreConflictException {
        Fault fault = script.nextFault(true);
        if (fault == Fault.REQUEST_LOST) {
            throw StoreException.ambiguous("no response", null);
        }
        if (fault == Fault.RATE_LIMITED) {
            throw StoreException.rateLimited("rate limit exceeded");
        }
        if (fault == Fault.DELAYED) {
            delayedWrite = () -> swap(key, value, expected);
            throw StoreException.ambiguous("no response", null);
        }
        long actual = swap(key, value, expected);
        long written = revision;
        applyDelayedWrite();
        if (fault == Fault.RESPONSE_LOST) {
            throw StoreException.ambiguous("no response", null);
        }
        if (actual != expected) {
            throw new StoreConflictException(key, expected, actual);
        }
        return written;
    }

    private void applyDelayedWrite() {
        Runnable write = delayedWrite;
        delayedWrite = () -> {};
        write.run();
    }

    private long swap(String key, byte[] value, long expected) {
        VersionedValue current = values.get(key);
        long actual = current == null ? ABSENT : current.revision();
        if (actual == expected) {
            values.put(key, new VersionedValue(++revision, value.clone()));
        }
        return actual;
    }

    @Override
    public Optional<VersionedValue> watch(String key, long after, Duration wait) throws StoreException {
        return get(key).filter(value -> value.revision() > after);
    }
}
