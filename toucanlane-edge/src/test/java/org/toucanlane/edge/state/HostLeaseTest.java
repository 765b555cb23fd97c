package org.toucanlane.edge.state;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.junit.jupiter.api.Test;
import org.toucanlane.coordination.store.AsyncStore;
import org.toucanlane.coordination.store.StoreChanges;
import org.toucanlane.coordination.store.StoreLease;
import org.toucanlane.coordination.store.StorePage;
import org.toucanlane.coordination.store.StoreRevision;
import org.toucanlane.coordination.store.StoreTransaction;
import org.toucanlane.edge.telemetry.DecisionLog;

class HostLeaseTest {

    private static final Duration TTL = Duration.ofMillis(3_000);

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final RecordingStore store = new RecordingStore();
    private final HostLease lease = new HostLease(
            store,
            channel.eventLoop(),
            new DecisionLog("test"),
            "hosts/h",
            "record".getBytes(StandardCharsets.UTF_8),
            TTL,
            List::of);

    /**
     * Guards against a deletion that the store executes late: it would delete the record of the next process of the host,
     * which renews its lease and does not notice.
     */
    @Test
    void deletesOnlyTheRecordThatItHasWritten() {
        lease.open();
        lease.end();
        StoreTransaction deletion = store.committed.get(1);
        assertThat(deletion.expectedRevisions()).isEqualTo(Map.of("hosts/h", 101L));
        assertThat(deletion.deletes()).containsExactly("hosts/h");
    }

    @Test
    void deletesNothingIfItHasWrittenNoRecord() {
        lease.end();
        assertThat(store.committed).isEmpty();
    }

    /** A restored store may have granted the id of the earlier lease to another host. */
    @Test
    void renewsOnlyTheLatestLease() {
        lease.open();
        lease.open();
        channel.advanceTimeBy(TTL.toMillis() / 3, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertThat(store.renewed).containsExactly(2L);
    }

    /** A store that completes each call at once. */
    private static final class RecordingStore implements AsyncStore {

        private final List<StoreTransaction> committed = new ArrayList<>();
        private final List<Long> renewed = new ArrayList<>();
        private long granted;

        @Override
        public void setEraListener(LongConsumer listener) {
            // Reports no era.
        }

        @Override
        public CompletableFuture<StorePage> range(String prefix, String after) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<StoreChanges> watch(String prefix, long revision, Duration wait) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<StoreRevision> commit(StoreTransaction transaction) {
            committed.add(transaction);
            return CompletableFuture.completedFuture(
                    new StoreRevision(StoreRevision.UNKNOWN_ERA, 100 + committed.size()));
        }

        @Override
        public CompletableFuture<StoreLease> grantLease(Duration time) {
            granted++;
            return CompletableFuture.completedFuture(new StoreLease(granted, time));
        }

        @Override
        public CompletableFuture<StoreLease> renewLease(long id) {
            renewed.add(id);
            return CompletableFuture.completedFuture(new StoreLease(id, TTL));
        }
    }
}
