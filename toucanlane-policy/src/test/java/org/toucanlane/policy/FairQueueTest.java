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

    private static final Duration LONG = Duration.ofSeconds(30);

    private final ExecutorService threads = Executors.newCachedThreadPool();

    @AfterEach
    void stop() {
        threads.shutdownNow();
    }

    @Test
    void anAccountThatFloodsTheQueueDoesNotHoldUpAnother() throws Exception {
        FairQueue queue = new FairQueue(1, 100, 100);
        List<String> order = Collections.synchronizedList(new ArrayList<>());
        FairQueue.Permit first = queue.acquire("starter", 1, 1, LONG);
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
                .as("of the first eight places")
                .filteredOn("calm"::equals)
                .hasSize(4);
    }

    private void enqueue(FairQueue queue, String account, List<String> order, CountDownLatch done, int waiting)
            throws InterruptedException {
        threads.submit(() -> {
            try (FairQueue.Permit place = queue.acquire(account, 1, 100, LONG)) {
                order.add(account);
                return place;
            } finally {
                done.countDown();
            }
        });
        while (queue.waiting() < waiting) {
            Thread.onSpinWait();
        }
    }

    /** A flood of one account does not make another's request look too late to be worth waiting. */
    @Test
    void anotherAccountsFloodDoesNotCountAgainstADeadline() throws Exception {
        FairQueue queue = new FairQueue(1, 1000, 1000);
        FairQueue.Permit held = queue.acquire("starter", 1, 1, LONG);
        Thread.sleep(50);
        held.close();
        FairQueue.Permit place = queue.acquire("starter", 1, 1, LONG);
        List<String> order = Collections.synchronizedList(new ArrayList<>());
        CountDownLatch done = new CountDownLatch(202);
        for (int i = 0; i < 200; i++) {
            enqueue(queue, "flood", order, done, i + 1);
        }
        Duration patience = Duration.ofSeconds(2);
        for (int i = 0; i < 2; i++) {
            threads.submit(() -> {
                try (FairQueue.Permit calm = queue.acquire("calm", 1, 100, patience)) {
                    order.add("calm");
                    return calm;
                } finally {
                    done.countDown();
                }
            });
            while (queue.waiting() < 201 + i && done.getCount() == 202) {
                Thread.onSpinWait();
            }
        }
        assertThat(queue.waiting()).as("both calm requests wait").isEqualTo(202);
        place.close();
        done.await();
        assertThat(order.subList(0, 4)).contains("calm");
    }

    @Test
    void aFullQueueRefusesAtOnceAndHoldsNothing() throws Exception {
        FairQueue queue = new FairQueue(1, 0, 0);
        FairQueue.Permit place = queue.acquire("a", 1, 1, LONG);
        assertThatThrownBy(() -> queue.acquire("b", 1, 1, LONG))
                .isInstanceOfSatisfying(
                        QueueRejectedException.class,
                        e -> assertThat(e.reason()).isEqualTo(QueueRejectedException.Reason.NO_ROOM));
        place.close();
        place.close();
        assertThat(queue.running()).isZero();
        queue.acquire("b", 1, 1, LONG).close();
    }

    @Test
    void aRequestThatCannotStartInTimeLeavesTheQueue() throws Exception {
        FairQueue queue = new FairQueue(1, 10, 10);
        FairQueue.Permit place = queue.acquire("a", 1, 1, LONG);
        assertThatThrownBy(() -> queue.acquire("b", 1, 1, Duration.ofMillis(1)))
                .isInstanceOf(QueueRejectedException.class);
        assertThat(queue.waiting()).isZero();
        place.close();
    }

    @Test
    void aClosedQueueRefusesThoseThatWait() throws Exception {
        FairQueue queue = new FairQueue(1, 10, 10);
        FairQueue.Permit place = queue.acquire("a", 1, 1, LONG);
        CountDownLatch refused = new CountDownLatch(1);
        threads.submit(() -> {
            try {
                queue.acquire("b", 1, 1, LONG).close();
            } catch (QueueRejectedException e) {
                refused.countDown();
            }
            return null;
        });
        while (queue.waiting() < 1) {
            Thread.onSpinWait();
        }
        queue.close();
        refused.await();
        place.close();
    }
}
