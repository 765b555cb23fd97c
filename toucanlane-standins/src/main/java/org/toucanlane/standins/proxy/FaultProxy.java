package org.toucanlane.standins.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.Closeable;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Relays TCP connections between named locations and injects faults.
 *
 * <p>All connections opened from one location to another, such as between two data centres, share a link and its faults.
 * A link can have any number of listeners. Thread-safe.
 */
public final class FaultProxy implements Closeable {

    private static final int EVENT_LOOP_THREADS = 2;

    private final MultiThreadIoEventLoopGroup eventLoops =
            new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
    private final Map<String, Link> links = new ConcurrentHashMap<>();

    private static String linkName(String from, String to) {
        return from + "->" + to;
    }

    private Link link(String from, String to) {
        return links.computeIfAbsent(linkName(from, to), Link::new);
    }

    /**
     * Listens on an unused loopback port, relays its connections to {@code target} over the link between the two
     * locations, and returns the port.
     */
    public int openListener(String from, String to, InetSocketAddress target) throws InterruptedException {
        Link link = link(from, to);
        Channel listener = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel inbound) {
                        connect(inbound, link, target);
                    }
                })
                .bind("127.0.0.1", 0)
                .sync()
                .channel();
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    private void connect(SocketChannel inbound, Link link, InetSocketAddress target) {
        new Bootstrap()
                .group(inbound.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel outbound) {
                        outbound.pipeline().addLast(new RelayHandler(inbound, link, false));
                        inbound.pipeline().addLast(new RelayHandler(outbound, link, true));
                    }
                })
                .connect(target)
                .addListener(result -> {
                    if (result.isSuccess()) {
                        link.addChannel(inbound);
                        link.addChannel(((ChannelFuture) result).channel());
                        inbound.config().setAutoRead(true);
                    } else {
                        inbound.close();
                    }
                });
    }

    /** Sets the one-way delay of both directions between two locations. */
    public void setDelay(String from, String to, long millis) {
        link(from, to).setDelayMillis(millis);
        link(to, from).setDelayMillis(millis);
    }

    /** Limits the bandwidth of each connection between two locations, in each direction; 0 means unlimited. */
    public void limitBandwidth(String from, String to, long bytesPerSecond) {
        link(from, to).setBytesPerSecond(bytesPerSecond);
        link(to, from).setBytesPerSecond(bytesPerSecond);
    }

    /** Starts or ends a partition between two locations. */
    public void setPartitioned(String from, String to, boolean partitioned) {
        link(from, to).setBlocked(partitioned, partitioned);
        link(to, from).setBlocked(partitioned, partitioned);
    }

    /** Starts or ends a partition that blocks only the bytes sent from {@code from} to {@code to}. */
    public void setPartitionedOneWay(String from, String to, boolean partitioned) {
        link(from, to).setBlocked(partitioned, false);
        link(to, from).setBlocked(false, partitioned);
    }

    /** Closes all connections between two locations. */
    public void closeConnections(String from, String to) {
        link(from, to).closeConnections();
        link(to, from).closeConnections();
    }

    /** Returns the number of bytes received for relay between two locations, including bytes held back. */
    public long bytesTransferred(String from, String to) {
        return link(from, to).bytesTransferred() + link(to, from).bytesTransferred();
    }

    @Override
    public void close() {
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(3, TimeUnit.SECONDS);
    }
}
