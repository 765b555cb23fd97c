package org.toucanlane.policy.admission;

import com.google.common.base.Preconditions;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Bounds the memory of one kind that all connections take together.
 *
 * <p>Load pattern: callers that send requests and read no response, or that send heads without end, on many connections at
 * once, beside callers that need little. When all together exceed the limit, the connection that takes the most is given up. A
 * connection that is alone may take more.
 *
 * <p>Invariant: the total is the sum of the recorded sizes. Not thread-safe.
 *
 * @param <T> a connection, compared by identity
 */
public final class ConnectionQuota<T> {

    private final long maxTotal;
    private final Map<T, Long> sizes = new IdentityHashMap<>();
    private long total;

    private ConnectionQuota(long maxTotal) {
        this.maxTotal = maxTotal;
    }

    /** Creates an instance without connections that allows {@code maxTotal} bytes. */
    public static <T> ConnectionQuota<T> of(long maxTotal) {
        Preconditions.checkArgument(maxTotal > 0, "maxTotal must be positive: %s", maxTotal);
        return new ConnectionQuota<>(maxTotal);
    }

    /**
     * Records the number of bytes that {@code connection} takes; 0 forgets it.
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

    /** Returns the number of bytes that all connections take together. */
    public long total() {
        return total;
    }
}
