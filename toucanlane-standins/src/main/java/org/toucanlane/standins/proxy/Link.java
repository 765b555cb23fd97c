package org.toucanlane.standins.proxy;

import io.netty.channel.Channel;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The state of all connections from one place to another. Thread-safe.
 *
 * <p>A cut holds bytes back, as a network that drops packets does for TCP; they flow again when it heals.
 */
final class Link {

    private final String name;
    private final Set<Channel> channels = ConcurrentHashMap.newKeySet();
    private final Queue<Runnable> healed = new ConcurrentLinkedQueue<>();
    private final AtomicLong bytes = new AtomicLong();
    private volatile long delayMillis;
    private volatile long bytesPerSecond;
    private volatile boolean forwardCut;
    private volatile boolean backwardCut;

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

    boolean isCut(boolean forward) {
        return forward ? forwardCut : backwardCut;
    }

    void setCut(boolean forward, boolean backward) {
        forwardCut = forward;
        backwardCut = backward;
        channels.forEach(channel -> channel.pipeline().fireUserEventTriggered(this));
        if (!forward && !backward) {
            Runnable next = healed.poll();
            while (next != null) {
                next.run();
                next = healed.poll();
            }
        }
    }

    /** Runs {@code action} when the cut has healed. */
    void whenHealed(Runnable action) {
        healed.add(action);
    }

    void add(Channel channel) {
        channels.add(channel);
        channel.closeFuture().addListener(closed -> channels.remove(channel));
    }

    void reset() {
        channels.forEach(Channel::close);
    }

    void count(long moved) {
        bytes.addAndGet(moved);
    }

    long bytes() {
        return bytes.get();
    }
}
