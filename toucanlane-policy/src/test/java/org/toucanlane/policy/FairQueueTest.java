package org.toucanlane.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.toucanlane.policy.queue.FairQueue;
import org.toucanlane.policy.queue.QueueRejectedException;

class FairQueueTest {

    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(30);

    private final ExecutorService executor = Executors.newCachedThreadPool();

    @AfterEach
    void shutDown() {
        executor.shutdownNow();
    }

    @Test
    void aBurstOfOneAccountDoesNotDelayAnother() throws Exception {
        FairQueue queue = new FairQueue(1, 100, 100);
        List<String> order = Collections.synchronizedList(new ArrayList<>());
        FairQueue.Permit first = queue.acquire("starter", 1, 1, LONG_TIMEOUT);
        CountDownLatch done = new CountDownLatch(24);
        for (int i = 0; i < 20; i++) {
            enqueue(queue, "flood", order, done, i + 1);
        }
        for (int i = 0; i < 4; i++) {
            enqueue(queue, "calm", order, done, 21 + i);
        }
        first.close();
        done.await();
        assertThat(order.subList(0, 8))
                .as("permits of the calm account among the first eight")
                .filteredOn("calm"::equals)
                .hasSize(4);
    }

    private void enqueue(FairQueue queue, String account, List<String> order, CountDownLatch done, int waiting)
            throws InterruptedException {
        executor.submit(() -> {
            try (FairQueue.Permit permit = queue.acquire(account, 1, 100, LONG_TIMEOUT)) {
                order.add(account);
                return permit;
            } finally {
                done.countDown();
            }
        });
        while (queue.waiting() < waiting) {
            Thread.onSpinWait();
        }
    }

    /** Guards against rejecting a request by its deadline because the backlog of another account counts in full. */
    @Test
    void theBacklogOfOneAccountDoesNotFailTheDeadlineCheckOfAnother() throws Exception {
        FairQueue queue = new FairQueue(1, 1000, 1000);
        FairQueue.Permit measured = queue.acquire("starter", 1, 1, LONG_TIMEOUT);
        Thread.sleep(50);
        measured.close();
        FairQueue.Permit permit = queue.acquire("starter", 1, 1, LONG_TIMEOUT);
        List<String> order = Collections.synchronizedList(new ArrayList<>());
        CountDownLatch done = new CountDownLatch(202);
        for (int i = 0; i < 200; i++) {
            enqueue(queue, "flood", order, done, i + 1);
        }
        Duration timeout = Duration.ofSeconds(2);
        for (int i = 0; i < 2; i++) {
            executor.submit(() -> {
                try (FairQueue.Permit granted = queue.acquire("calm", 1, 100, timeout)) {
                    order.add("calm");
                    return granted;
                } finally {
                    done.countDown();
                }
            });
            while (queue.waiting() < 201 + i && done.getCount() == 202) {
                Thread.onSpinWait();
            }
        }
        assertThat(queue.waiting()).as("both calm requests wait").isEqualTo(202);
        permit.close();
        done.await();
        assertThat(order.subList(0, 4)).contains("calm");
    }

    @Test
    void aFullQueueRejectsImmediatelyWithoutHoldingAPermit() throws Exception {
        FairQueue queue = new FairQueue(1, 0, 0);
        FairQueue.Permit permit = queue.acquire("a", 1, 1, LONG_TIMEOUT);
        assertThatThrownBy(() -> queue.acquire("b", 1, 1, LONG_TIMEOUT))
                .isInstanceOfSatisfying(
                        QueueRejectedException.class,
                        e -> assertThat(e.reason()).isEqualTo(QueueRejectedException.Reason.NO_ROOM));
        permit.close();
        permit.close();
        assertThat(queue.running()).isZero();
        queue.acquire("b", 1, 1, LONG_TIMEOUT).close();
    }

    @Test
    void aRequestThatTimesOutIsRemovedFromTheQueue() throws Exception {
        FairQueue queue = new FairQueue(1, 10, 10);
        FairQueue.Permit permit = queue.acquire("a", 1, 1, LONG_TIMEOUT);
        assertThatThrownBy(() -> queue.acquire("b", 1, 1, Duration.ofMillis(1)))
                .isInstanceOf(QueueRejectedException.class);
        assertThat(queue.waiting()).isZero();
        permit.close();
    }

    @Test
    void closeRejectsWaitingRequests() throws Exception {
        FairQueue queue = new FairQueue(1, 10, 10);
        FairQueue.Permit permit = queue.acquire("a", 1, 1, LONG_TIMEOUT);
        CountDownLatch rejected = new CountDownLatch(1);
        executor.submit(() -> {
            try {
                queue.acquire("b", 1, 1, LONG_TIMEOUT).close();
            } catch (QueueRejectedException e) {
                rejected.countDown();
            }
            return null;
        });
        while (queue.waiting() < 1) {
            Thread.onSpinWait();
        }
        queue.close();
        rejected.await();
        permit.close();
    }
}
