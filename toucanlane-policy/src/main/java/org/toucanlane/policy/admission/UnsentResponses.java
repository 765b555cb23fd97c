package org.toucanlane.policy.admission;

import com.google.common.base.Preconditions;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Bounds the memory that responses take which their callers don't read.
 *
 * <p>Load pattern: callers that send requests and read nothing, on many connections at once, beside callers that read. When
 * all unsent bytes together exceed the limit, the connection with the most of them is given up. A connection that is alone
 * keeps its response, however long it is.
 *
 * <p>Invariant: the total is the sum of the recorded sizes. Not thread-safe.
 *
 * @param <T> a connection, compared by identity
 */
public final class UnsentResponses<T> {

    /** Maximum number of unsent bytes, whatever memory there is. */
    private static final long MAX_TOTAL_BYTES = 16L << 20;

    /** Part of the memory for unsent bytes. */
    private static final double FRACTION = 1.0 / 4;

    private final long maxTotal;
    private final Map<T, Long> sizes = new IdentityHashMap<>();
    private long total;

    private UnsentResponses(long maxTotal) {
        this.maxTotal = maxTotal;
    }

    /** Creates an instance without connections, for a process with {@code memoryBytes} outside its heap. */
    public static <T> UnsentResponses<T> within(long memoryBytes) {
        Preconditions.checkArgument(memoryBytes > 0, "memoryBytes must be positive: %s", memoryBytes);
        return new UnsentResponses<>(Math.min(MAX_TOTAL_BYTES, (long) (memoryBytes * FRACTION)));
    }

    /**
     * Records the number of unsent bytes of {@code connection}; 0 forgets it.
     *
     * @return a connection to give up, which is forgotten, or empty if the limit is kept
     */
    public Optional<T> record(T connection, long bytes) {
        forget(connection);
        if (bytes > 0) {
            sizes.put(connection, bytes);
            total += bytes;
        }
        if (total <= maxTotal || sizes.size() < 2) {
            return Optional.empty();
        }
        Optional<T> largest = sizes.entrySet().stream()
                .max(Comparator.comparingLong(Map.Entry::getValue))
                .map(Map.Entry::getKey);
        largest.ifPresent(this::forget);
        return largest;
    }

    private void forget(T connection) {
        Long size = sizes.remove(connection);
        total -= size == null ? 0 : size;
    }

    /** Returns the number of unsent bytes of all connections together. */
    public long total() {
        return total;
    }
}
