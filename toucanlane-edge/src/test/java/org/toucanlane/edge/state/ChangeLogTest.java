package org.toucanlane.edge.state;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.toucanlane.edge.state.StoreMirrorTest.put;
import static org.toucanlane.edge.state.StoreMirrorTest.removed;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.toucanlane.coordination.store.StoreChanges;
import org.toucanlane.coordination.store.StoreRevision;

class ChangeLogTest {

    private final ChangeLog log = new ChangeLog();

    @Test
    void returnsAllChangesAfterARevision() {
        log.restartAt(revision(5));
        append(7, put("a", "1", 6), removed("b", 7));
        append(9, put("a", "2", 9));
        assertThat(log.since(revision(6))).hasValueSatisfying(changes -> {
            assertThat(changes.changes())
                    .extracting(StoreChanges.Change::revision)
                    .containsExactly(7L, 9L);
            assertThat(changes.revision()).isEqualTo(revision(9));
        });
        assertThat(log.since(revision(9)).orElseThrow().changes()).isEmpty();
    }

    @Test
    void knowsNothingBeforeItsStartOrBeyondItsEnd() {
        log.restartAt(revision(5));
        append(7, put("a", "1", 6));
        assertThat(log.since(revision(4))).isEmpty();
        assertThat(log.since(revision(8))).isEmpty();
        assertThat(log.since(new StoreRevision(1, 6))).isEmpty();
        log.restartAt(revision(20));
        assertThat(log.since(revision(7))).isEmpty();
    }

    @Test
    void ignoresChangesThatItHasAlready() {
        log.restartAt(revision(5));
        append(7, put("a", "1", 6), put("b", "1", 7));
        append(8, put("b", "1", 7), put("c", "1", 8));
        append(7, put("a", "0", 6));
        assertThat(log.since(revision(5)).orElseThrow().changes())
                .extracting(StoreChanges.Change::revision)
                .containsExactly(6L, 7L, 8L);
    }

    /** Load: a configuration of the maximum size of a value, and thousands of small changes. */
    @Test
    void forgetsTheOldestChangesBeyondItsBounds() {
        log.restartAt(revision(1));
        for (int revision = 2; revision <= 3_000; revision++) {
            append(revision, put("k", "v", revision));
        }
        assertThat(log.since(revision(1))).isEmpty();
        assertThat(log.since(revision(2_500)).orElseThrow().changes()).hasSize(500);
        append(3_001, put("large", "x".repeat(1 << 20), 3_001));
        assertThat(log.since(revision(3_000))).isEmpty();
        assertThat(log.since(revision(3_001))).isPresent();
    }

    @Test
    void survivesEncoding() throws Exception {
        log.restartAt(revision(5));
        append(7, put("a", "value", 6), removed("b", 7));
        StoreChanges decoded = ChangesEncoding.decode(
                ChangesEncoding.encode(log.since(revision(5)).orElseThrow()));
        assertThat(decoded.revision()).isEqualTo(revision(7));
        assertThat(decoded.changes().get(0).item().orElseThrow().value())
                .asString()
                .isEqualTo("value");
        assertThat(decoded.changes().get(1)).isEqualTo(removed("b", 7));
    }

    @Test
    void rejectsWhatIsNoEncodedChanges() {
        byte[] encoded = ChangesEncoding.encode(new StoreChanges(List.of(put("a", "1", 6)), revision(7)));
        for (int length = 0; length < encoded.length; length++) {
            byte[] cut = Arrays.copyOf(encoded, length);
            assertThatThrownBy(() -> ChangesEncoding.decode(cut)).isInstanceOf(IOException.class);
        }
        byte[] longer = Arrays.copyOf(encoded, encoded.length + 1);
        assertThatThrownBy(() -> ChangesEncoding.decode(longer)).hasMessageContaining("trailing bytes");
    }

    private void append(long revision, StoreChanges.Change... changes) {
        log.append(new StoreChanges(List.of(changes), revision(revision)));
    }

    private static StoreRevision revision(long number) {
        return new StoreRevision(StoreRevision.UNKNOWN_ERA, number);
    }
}
