package org.toucanlane.edge.state;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.toucanlane.coordination.store.StoreChanges;
import org.toucanlane.coordination.store.StoreRevision;

/** A source of the store's changes other than the store itself. */
public interface PeerChanges {

    /** Knows no other host. */
    PeerChanges NONE = revision -> Optional.empty();

    /**
     * Asks another host for all changes after {@code revision}.
     *
     * @return the changes, or a failure if that host doesn't know all of them or can't be reached; empty if there is no
     *     host to ask
     */
    Optional<CompletableFuture<StoreChanges>> since(StoreRevision revision);
}
