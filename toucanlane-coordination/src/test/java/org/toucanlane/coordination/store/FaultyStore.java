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
    private Runnable late = () -> {};
    private Script script = write -> Fault.NONE;
    private long revision;

    /** What happens to a call. */
    public enum Fault {
        NONE,
        /** The call never arrives. */
        LOST_BEFORE,
        /** The call takes effect, its answer is lost. */
        LOST_AFTER,
        /** The answer is lost, and the call takes effect only after the next call of anybody. */
        LATE,
        /** The call is refused because there are too many. */
        OVER_RATE
    }

    /** Decides on each call. */
    @FunctionalInterface
    public interface Script {
        Fault next(boolean write);
    }

    /** Uses {@code next} from now on. */
    public void follow(Script next) {
        script = next;
    }

    @Override
    public Optional<VersionedValue> get(String key) throws StoreException {
        if (script.next(false) != Fault.NONE) {
            throw StoreException.ambiguous("lost", null);
        }
        Optional<VersionedValue> value = Optional.ofNullable(values.get(key));
        arriveLate();
        return value;
    }

    @Override
    public long compareAndSwap(String key, byte[] value, long expected) throws StoreException, StoreConflictException {
        Fault fault = script.next(true);
        if (fault == Fault.LOST_BEFORE) {
            throw StoreException.ambiguous("lost", null);
        }
        if (fault == Fault.OVER_RATE) {
            throw StoreException.overRate("too many");
        }
        if (fault == Fault.LATE) {
            late = () -> swap(key, value, expected);
            throw StoreException.ambiguous("lost", null);
        }
        long actual = swap(key, value, expected);
        long written = revision;
        arriveLate();
        if (fault == Fault.LOST_AFTER) {
            throw StoreException.ambiguous("lost", null);
        }
        if (actual != expected) {
            throw new StoreConflictException(key, expected, actual);
        }
        return written;
    }

    private void arriveLate() {
        Runnable arriving = late;
        late = () -> {};
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
