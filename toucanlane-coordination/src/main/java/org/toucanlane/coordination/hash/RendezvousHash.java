package org.toucanlane.coordination.hash;

import com.google.common.base.Preconditions;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Highest-random-weight placement (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998).
 *
 * <p>Every caller that knows the same nodes places a key on the same node. Removing a node moves only the keys it
 * held. Stateless and thread-safe.
 */
public final class RendezvousHash {

    private static final HashFunction HASH = Hashing.murmur3_128();

    private RendezvousHash() {}

    /**
     * Returns the node that holds {@code key}, or empty if there are no nodes. Takes time linear in the nodes.
     *
     * @throws NullPointerException if an argument is null
     */
    public static Optional<String> pick(String key, Collection<String> nodes) {
        Preconditions.checkNotNull(key, "key");
        return nodes.stream().max(byWeight(key));
    }

    /** Returns all nodes, the holder of {@code key} first and each next one its successor. */
    public static List<String> rank(String key, Collection<String> nodes) {
        Preconditions.checkNotNull(key, "key");
        return nodes.stream().sorted(byWeight(key).reversed()).toList();
    }

    private static Comparator<String> byWeight(String key) {
        return Comparator.<String>comparingLong(node -> weight(key, node)).thenComparing(Comparator.naturalOrder());
    }

    /** Returns the weight of {@code node} for {@code key}, any long. */
    public static long weight(String key, String node) {
        return HASH.newHasher()
                .putString(key, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(node, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
