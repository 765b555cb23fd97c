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
 * Carries TCP connections between named places and injects faults on the way.
 *
 * <p>Many listeners may belong to one link, such as all connections from one data centre to another. Thread-safe.
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

    /** Listens on a free port of loopback for connections that belong to a link, and returns the port. */
    public int openListener(String from, String to, InetSocketAddress target) throws InterruptedException {
        Link link = link(from, to);
        Channel listener = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        connect(accepted, link, target);
                    }
                })
                .bind("127.0.0.1", 0)
                .sync()
                .channel();
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    private void connect(SocketChannel accepted, Link link, InetSocketAddress target) {
        new Bootstrap()
                .group(accepted.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel opened) {
                        opened.pipeline().addLast(new RelayHandler(accepted, link, false));
                        accepted.pipeline().addLast(new RelayHandler(opened, link, true));
                    }
                })
                .connect(target)
                .addListener(result -> {
                    if (result.isSuccess()) {
                        link.addChannel(accepted);
                        link.addChannel(((ChannelFuture) result).channel());
                        accepted.config().setAutoRead(true);
                    } else {
                        accepted.close();
                    }
                });
    }

    /** Sets the one-way delay between two places, in both directions. */
    public void setDelay(String from, String to, long millis) {
        link(from, to).setDelayMillis(millis);
        link(to, from).setDelayMillis(millis);
    }

    /** Sets the rate of each connection between two places, in both directions; 0 for no bound. */
    public void limitBandwidth(String from, String to, long bytesPerSecond) {
        link(from, to).setBytesPerSecond(bytesPerSecond);
        link(to, from).setBytesPerSecond(bytesPerSecond);
    }

    /** Cuts two places off from each other, or heals the cut. */
    public void setPartitioned(String from, String to, boolean cut) {
        link(from, to).setBlocked(cut, cut);
        link(to, from).setBlocked(cut, cut);
    }

    /** Loses what goes from one place to the other and lets the other direction through, or heals that. */
    public void setPartitionedOneWay(String from, String to, boolean cut) {
        link(from, to).setBlocked(cut, false);
        link(to, from).setBlocked(false, cut);
    }

    /** Breaks all connections between two places. */
    public void closeConnections(String from, String to) {
        link(from, to).closeConnections();
        link(to, from).closeConnections();
    }

    /** Returns the bytes carried between two places so far. */
    public long bytesTransferred(String from, String to) {
        return link(from, to).bytesTransferred() + link(to, from).bytesTransferred();
    }

    @Override
    public void close() {
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(3, TimeUnit.SECONDS);
    }
}
