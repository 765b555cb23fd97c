package org.toucanlane.edge.call;

import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.Map;

/**
 * Bounds the memory in which a host buffers incomplete responses.
 *
 * <p>Load pattern: endpoints that send bytes without end on many connections at once, beside endpoints whose responses
 * are short. When all buffers together exceed the limit, the largest is given up, so that short responses are not
 * affected.
 *
 * <p>Invariant: the total is the sum of the sizes of the registered buffers. Used on the host's event loop only.
 */
final class ResponseBuffers {

    private final long maxTotalBytes;
    private final Map<Buffer, Integer> sizes = new IdentityHashMap<>();
    private long totalBytes;

    /**
     * Creates an instance without buffers.
     *
     * @param maxTotalBytes maximum number of bytes in all buffers together
     */
    ResponseBuffers(long maxTotalBytes) {
        this.maxTotalBytes = maxTotalBytes;
    }

    /** Records the new size of a buffer, and gives up the largest buffers while the total exceeds the limit. */
    void update(Buffer buffer, int bytes) {
        Integer previous = sizes.put(buffer, bytes);
        totalBytes += bytes - (previous == null ? 0 : previous);
        while (totalBytes > maxTotalBytes) {
            Buffer largest = sizes.entrySet().stream()
                    .max(Comparator.comparingInt(Map.Entry::getValue))
                    .map(Map.Entry::getKey)
                    .orElseThrow();
            remove(largest);
            largest.giveUp("response buffers of this host exceed " + maxTotalBytes + " bytes");
        }
    }

    /** Removes a buffer; has no effect if it is not registered. */
    void remove(Buffer buffer) {
        Integer bytes = sizes.remove(buffer);
        totalBytes -= bytes == null ? 0 : bytes;
    }

    /** Returns the number of bytes in all buffers together. */
    long totalBytes() {
        return totalBytes;
    }

    /** A buffer with an incomplete response. */
    interface Buffer {

        /** Releases the buffer and fails its request. */
        void giveUp(String reason);
    }
}
