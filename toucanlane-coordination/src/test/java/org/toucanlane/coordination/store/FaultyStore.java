package org.toucanlane.coordination.store;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A store in memory that calls a script before each call, and fails or lies as the script says.
 *
 * <p>The script also serves to let somebody else act at that moment. Not thread-safe.
 */
public final class FaultyStore implements KeyValueStore {

    private final Map<String, VersionedValue> values = new HashMap<>();
    private Runnable delayedWrite = () -> {};
    private Script script = write -> Fault.NONE;
    private long revision;

    /** What happens to a call. */
    public enum Fault {
        NONE,
        /** The call never arrives. */
        REQUEST_LOST,
        /** The call takes effect, its answer is lost. */
        RESPONSE_LOST,
        /** The answer is lost, and the call takes effect only after the next call of anybody. */
        DELAYED,
        /** The call is refused because there are too many. */
        RATE_LIMITED
    }

    /** Decides on each call. */
    @FunctionalInterface
    public interface Script {
        Fault nextFault(boolean write);
    }

    /** Uses {@code next} from now on. */
    public void setScript(Script next) {
        script = next;
    }

    @Override
    public Optional<VersionedValue> get(String key) throws StoreException {
        if (script.nextFault(false) != Fault.NONE) {
            throw StoreException.ambiguous("lost", null);
        }
        Optional<VersionedValue> value = Optional.ofNullable(values.get(key));
        applyDelayedWrite();
        return value;
    }

    @Override
    public long compareAndSwap(String key, byte[] value, long expected) throws StoreException, StoreConflictException {
        Fault fault = script.nextFault(true);
        if (fault == Fault.REQUEST_LOST) {
            throw StoreException.ambiguous("lost", null);
        }
        if (fault == Fault.RATE_LIMITED) {
            throw StoreException.rateLimited("too many");
        }
        if (fault == Fault.DELAYED) {
            delayedWrite = () -> swap(key, value, expected);
            throw StoreException.ambiguous("lost", null);
        }
        long actual = swap(key, value, expected);
        long written = revision;
        applyDelayedWrite();
        if (fault == Fault.RESPONSE_LOST) {
            throw StoreException.ambiguous("lost", null);
        }
        if (actual != expected) {
            throw new StoreConflictException(key, expected, actual);
        }
        return written;
    }

    private void applyDelayedWrite() {
        Runnable arriving = delayedWrite;
        delayedWrite = () -> {};
        arriving.run();
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
