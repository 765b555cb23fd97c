package org.toucanlane.edge.state;

import com.google.common.base.Preconditions;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.toucanlane.coordination.store.StoreChanges;
import org.toucanlane.coordination.store.StoreItem;
import org.toucanlane.coordination.store.StoreRevision;

/**
 * The latest changes that a {@link StoreMirror} has applied, for other hosts that are a few changes behind.
 *
 * <p>Load pattern: each change in the store has to reach hundreds of hosts within seconds. If each host read it from the
 * store, one change would cost as many calls as there are hosts.
 *
 * <p>Invariant: holds every change after {@link #from} up to {@link #to}, in the order of the revisions. Not thread-safe:
 * confined to the host's event loop.
 */
final class ChangeLog {

    /** Maximum number of changes that are kept; a host that is further behind reads the store. */
    private static final int MAX_CHANGES = 1_024;

    /** Maximum size of the values that are kept. */
    private static final long MAX_BYTES = 1 << 20;

    private final Deque<StoreChanges.Change> changes = new ArrayDeque<>();
    private StoreRevision from = StoreRevision.NONE;
    private StoreRevision to = StoreRevision.NONE;
    private long bytes;

    /** Forgets all changes, as the copy of the store was read anew at {@code revision}. */
    void restartAt(StoreRevision revision) {
        changes.clear();
        bytes = 0;
        from = revision;
        to = revision;
    }

    /** Adds changes that continue those before. Changes that end before {@link #to}, or in another era, are ignored. */
    void append(StoreChanges next) {
        if (next.revision().era() != to.era() || !next.revision().isAfter(to)) {
            return;
        }
        next.changes().stream()
                .filter(change -> change.revision() > to.number())
                .forEach(change -> {
                    changes.addLast(change);
                    bytes += sizeOf(change);
                });
        to = next.revision();
        while (changes.size() > MAX_CHANGES || bytes > MAX_BYTES) {
            StoreChanges.Change oldest = changes.removeFirst();
            bytes -= sizeOf(oldest);
            from = from.withNumber(oldest.revision());
        }
    }

    private static long sizeOf(StoreChanges.Change change) {
        return change.key().length()
                + change.item().map(StoreItem::value).map(value -> value.length).orElse(0);
    }

    /** Returns all changes after {@code revision}, or empty if some of them are not known. */
    Optional<StoreChanges> since(StoreRevision revision) {
        Preconditions.checkNotNull(revision, "revision");
        if (revision.era() != to.era() || from.isAfter(revision) || revision.isAfter(to)) {
            return Optional.empty();
        }
        List<StoreChanges.Change> later = changes.stream()
                .filter(change -> change.revision() > revision.number())
                .toList();
        return Optional.of(new StoreChanges(later, to));
    }
}
