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
 * Rendezvous (highest-random-weight) hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit
 * rates", 1998).
 *
 * <p>Every caller with the same set of nodes places a key on the same node. Removing a node moves only the keys that
 * it held. The weight of a node for a key mixes the hashes of both, so that frequently used names need to be hashed
 * only once. Stateless and thread-safe.
 */
public final class RendezvousHash {

    private static final HashFunction HASH = Hashing.murmur3_128();

    private RendezvousHash() {}

    /** Returns the hash of a key or of a node, for {@link #weight(long, long)}. */
    public static long hash(String name) {
        Preconditions.checkNotNull(name, "name");
        return HASH.hashString(name, StandardCharsets.UTF_8).asLong();
    }

    /** Returns the weight of a node for a key, from the hashes of their names. */
    public static long weight(long keyHash, long nodeHash) {
        return mix(mix(nodeHash) ^ keyHash);
    }

    /** Mixes 64 bits with the finalizer of SplitMix64 (Steele, Lea and Flood, 2014). */
    private static long mix(long bits) {
        long z = bits + 0x9e3779b97f4a7c15L;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }

    /** Returns the weight of {@code node} for {@code key}. */
    public static long weight(String key, String node) {
        return weight(hash(key), hash(node));
    }

    /**
     * Returns the node that holds {@code key}, or empty if there are no nodes. Takes time linear in the number of
     * nodes.
     */
    public static Optional<String> pick(String key, Collection<String> nodes) {
        return HashedNodes.of(nodes).pick(key);
    }

    /** Returns all nodes by decreasing weight for {@code key}: its holder first, then its successors in order. */
    public static List<String> rank(String key, Collection<String> nodes) {
        long keyHash = hash(key);
        Comparator<String> byWeight = Comparator.comparingLong(node -> weight(keyHash, hash(node)));
        return nodes.stream()
                .sorted(byWeight.thenComparing(Comparator.naturalOrder()).reversed())
                .toList();
    }
}
