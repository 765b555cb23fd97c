package org.toucanlane.coordination.claim;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.toucanlane.coordination.store.FaultyStore;
import org.toucanlane.coordination.store.FaultyStore.Fault;

class ClaimLogTest {

    private static final ByteString KEY = ClaimLog.keyOf("account", "key");
    private static final ByteString REQUEST = ByteString.copyFromUtf8("request");
    private static final Duration RETENTION = Duration.ofHours(1);

    private final FaultyStore store = new FaultyStore();
    private final AtomicLong wallMillis = new AtomicLong();
    private final ClaimLog first = log("first");
    private final ClaimLog second = log("second");

    private ClaimLog log(String owner) {
        return new ClaimLog(store, owner, 4, RETENTION, Runnable::run, wallMillis::get, round -> {});
    }

    private static Claim granted(CompletableFuture<ClaimResult> result) throws Exception {
        return ((ClaimResult.Granted) result.get()).claim();
    }

    @Test
    void repeatOnAnotherHostSeesHeldThenFinished() throws Exception {
        Claim claim = granted(first.claim(KEY, REQUEST));
        assertThat(second.claim(KEY, REQUEST).get()).isEqualTo(new ClaimResult.Held("first"));
        first.finish(claim, "done".getBytes(StandardCharsets.UTF_8)).get();
        ClaimResult.Finished repeat =
                (ClaimResult.Finished) second.claim(KEY, REQUEST).get();
        assertThat(repeat.answer()).asString(StandardCharsets.UTF_8).isEqualTo("done");
    }

    @Test
    void differentRequestWithSameKeyIsMismatch() throws Exception {
        granted(first.claim(KEY, REQUEST));
        assertThat(second.claim(KEY, ByteString.copyFromUtf8("other")).get()).isEqualTo(new ClaimResult.Mismatch());
    }

    @Test
    void releasedOrExpiredClaimCanBeClaimed() throws Exception {
        first.release(granted(first.claim(KEY, REQUEST))).get();
        granted(second.claim(KEY, REQUEST));
        wallMillis.addAndGet(RETENTION.toMillis() + 1);
        granted(first.claim(KEY, REQUEST));
    }

    @Test
    void keysOfDifferentAccountsDiffer() {
        assertThat(ClaimLog.keyOf("ab", "c")).isNotEqualTo(ClaimLog.keyOf("a", "bc"));
    }

    @Test
    void writeWithLostResponseIsRecognizedByToken() throws Exception {
        AtomicInteger writes = new AtomicInteger();
        store.setScript(write -> write && writes.getAndIncrement() == 0 ? Fault.RESPONSE_LOST : Fault.NONE);
        granted(first.claim(KEY, REQUEST));
        assertThat(writes).as("writes, as the first one is not retried").hasValue(1);
    }

    @Test
    void unavailableStoreFailsClaim() {
        store.setScript(write -> Fault.REQUEST_LOST);
        assertThatThrownBy(() -> first.claim(KEY, REQUEST).get()).isInstanceOf(ExecutionException.class);
    }

    @Test
    void rateLimitedWriteIsRetriedAfterBackOff() throws Exception {
        AtomicInteger pauses = new AtomicInteger();
        AtomicInteger writes = new AtomicInteger();
        store.setScript(write -> write && writes.getAndIncrement() < 3 ? Fault.RATE_LIMITED : Fault.NONE);
        ClaimLog log = new ClaimLog(
                store, "first", 1, RETENTION, Runnable::run, wallMillis::get, round -> pauses.incrementAndGet());
        granted(log.claim(KEY, REQUEST));
        assertThat(pauses).hasValue(3);
    }

    @Test
    void queuedClaimsShareOneWrite() throws Exception {
        List<Runnable> queued = new ArrayList<>();
        AtomicInteger writes = new AtomicInteger();
        store.setScript(write -> {
            writes.addAndGet(write ? 1 : 0);
            return Fault.NONE;
        });
        ClaimLog log = new ClaimLog(store, "first", 1, RETENTION, queued::add, wallMillis::get, round -> {});
        List<CompletableFuture<ClaimResult>> results = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            results.add(log.claim(ClaimLog.keyOf("account", "key" + i), REQUEST));
        }
        queued.forEach(Runnable::run);
        for (CompletableFuture<ClaimResult> result : results) {
            granted(result);
        }
        assertThat(writes).hasValue(1);
    }

    @Test
    void fullShardKeepsExistingClaims() throws Exception {
        ClaimLog log = new ClaimLog(store, "first", 1, RETENTION, Runnable::run, wallMillis::get, round -> {});
        byte[] answer = new byte[100_000];
        ClaimResult last = log.claim(ClaimLog.keyOf("account", "0"), REQUEST).get();
        for (int i = 1; i < 20; i++) {
            if (last instanceof ClaimResult.Granted held) {
                log.finish(held.claim(), answer).get();
            }
            last = log.claim(ClaimLog.keyOf("account", Integer.toString(i)), REQUEST)
                    .get();
        }
        assertThat(log.claim(ClaimLog.keyOf("account", "0"), REQUEST).get()).isInstanceOf(ClaimResult.Finished.class);
    }
}
