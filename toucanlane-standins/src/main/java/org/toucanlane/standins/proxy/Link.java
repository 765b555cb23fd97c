package org.toucanlane.standins.proxy;

import io.netty.channel.Channel;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The faults, connections and byte count of the link from one location to another. Thread-safe.
 *
 * <p>A blocked link holds bytes back instead of discarding them. TCP retransmits what a partitioned network drops, so the
 * bytes arrive once the partition has healed.
 */
final class Link {

    private final String name;
    private final Set<Channel> channels = ConcurrentHashMap.newKeySet();
    private final Queue<Runnable> healActions = new ConcurrentLinkedQueue<>();
    private final AtomicLong bytesTransferred = new AtomicLong();
    private volatile long delayMillis;
    private volatile long bytesPerSecond;
    private volatile boolean forwardBlocked;
    private volatile boolean backwardBlocked;

    Link(String name) {
        this.name = name;
    }

    String name() {
        return name;
    }

    long delayMillis() {
        return delayMillis;
    }

    void setDelayMillis(long value) {
        delayMillis = value;
    }

    long bytesPerSecond() {
        return bytesPerSecond;
    }

    void setBytesPerSecond(long value) {
        bytesPerSecond = value;
    }

    boolean isBlocked(boolean forward) {
        return forward ? forwardBlocked : backwardBlocked;
    }

    void setBlocked(boolean forward, boolean backward) {
        forwardBlocked = forward;
        backwardBlocked = backward;
        channels.forEach(channel -> channel.pipeline().fireUserEventTriggered(this));
        if (!forward && !backward) {
            Runnable next = healActions.poll();
            while (next != null) {
                next.run();
                next = healActions.poll();
            }
        }
    }

    /** Runs {@code action} once neither direction is blocked. */
    void runWhenHealed(Runnable action) {
        healActions.add(action);
    }

    void addChannel(Channel channel) {
        channels.add(channel);
        channel.closeFuture().addListener(closed -> channels.remove(channel));
    }

    void closeConnections() {
        channels.forEach(Channel::close);
    }

    void addBytesTransferred(long transferred) {
        bytesTransferred.addAndGet(transferred);
    }

    long bytesTransferred() {
        return bytesTransferred.get();
    }
}
