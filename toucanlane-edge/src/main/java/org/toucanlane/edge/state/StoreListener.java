package org.toucanlane.edge.state;

import java.util.Optional;

/** Receives the changes of the copy that a {@link StoreMirror} keeps. Called on the event loop of the host. */
public interface StoreListener {

    /** Called when a key has a new value, or with empty when it was removed. */
    void changed(String key, Optional<byte[]> value);

    /** Called when all keys have been read. */
    void synced();

    /** Called when the store was restored from an older copy, before keys are read from it. */
    default void storeRestored() {}

    /** Called when the store becomes reachable or unreachable. */
    void reachabilityChanged(boolean nowReachable);

    /** Called when another host reports that the store became reachable for it at monotonic time {@code time}. */
    default void storeRecoveredElsewhere(long time) {}
}
