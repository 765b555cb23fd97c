package org.toucanlane.coordination.hash;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Nodes with precomputed name hashes, for placing many keys. Immutable and thread-safe.
 */
public final class HashedNodes {

    private final List<String> names;
    private final long[] hashes;

    private HashedNodes(List<String> names) {
        this.names = names;
        this.hashes = names.stream().mapToLong(RendezvousHash::hash).toArray();
    }

    /** Returns the nodes with the given names. */
    public static HashedNodes of(Collection<String> names) {
        return new HashedNodes(names.stream().sorted().toList());
    }

    /** Returns whether there are no nodes. */
    public boolean isEmpty() {
        return names.isEmpty();
    }

    /**
     * Returns the node that holds {@code key}, or empty if there are no nodes. Takes time linear in the number of
     * nodes.
     */
    public Optional<String> pick(String key) {
        long keyHash = RendezvousHash.hash(key);
        int best = -1;
        long bestWeight = Long.MIN_VALUE;
        for (int i = 0; i < hashes.length; i++) {
            long weight = RendezvousHash.weight(keyHash, hashes[i]);
            if (best < 0 || weight >= bestWeight) {
                best = i;
                bestWeight = weight;
            }
        }
        return best < 0 ? Optional.empty() : Optional.of(names.get(best));
    }
}
