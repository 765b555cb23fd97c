package org.toucanlane.edge.http;

import com.google.common.base.Preconditions;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.toucanlane.domain.serving.CallerLimits;
import org.toucanlane.edge.schedule.AlignedSchedule;
import org.toucanlane.policy.admission.BodyBudget;
import org.toucanlane.policy.admission.LongHeadBudget;
import org.toucanlane.policy.overload.AcceptClock;

/**
 * An HTTP server on one listening address.
 *
 * <p>Limits may be changed at run time: the header limit applies to connections opened later, all other limits apply
 * immediately. All methods except {@link #bind} are called on the event loop only.
 */
public final class HttpServer {

    /** Interval between checks for expired connections: a fraction of the shortest time limit in use. */
    private static final Duration EXPIRY_CHECK_INTERVAL = Duration.ofMillis(400);

    /** Maximum length of the request line. No route has a longer path. */
    private static final int MAX_LINE_BYTES = 8 << 10;

    /** Maximum accept backlog. It absorbs the burst of reconnecting callers after a host restarts. */
    private static final int MAX_BACKLOG = 1024;

    /** Bytes of a caller's connection that the system takes before they are read, which count as memory of the process. */
    public static final int CALLER_WINDOW_BYTES = 64 << 10;

    /** The same for connections of other hosts, some of which are far away. */
    public static final int HOST_WINDOW_BYTES = 1 << 20;

    /** Maximum number of connections that are accepted before those that are open get their turn. */
    private static final int MAX_ACCEPTS_IN_A_ROW = 256;

    /** Parts of the channels, of which one may be accepted in a row: closed ones keep their descriptors until the next pass. */
    private static final int ACCEPT_PARTS = 7;

    /** Reads from one connection before other connections get their turn. */
    private static final int MAX_READS_IN_A_ROW = 16;

    /** Size of a buffer for one read; it stays with a connection while it holds bytes that aren't decoded. */
    private static final int MIN_READ_BYTES = 64;

    private static final int FIRST_READ_BYTES = 2 << 10;
    private static final int MAX_READ_BYTES = 16 << 10;

    /** Limits on the unsent bytes of one response. Above the high mark the source is paused. */
    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(32 << 10, 128 << 10);

    /** Added to the idle time, so that a caller that uses all of it isn't disconnected by a late timer. */
    private static final Duration IDLE_MARGIN = Duration.ofSeconds(2);

    private final RequestHandler handler;
    private final ServerMemory memory;
    private final RequestIntake intake;
    private final int backlog;
    private final int acceptsInARow;
    private final AcceptClock acceptClock;
    private final RequestTurns turns;
    private final Set<ServerChannelHandler> connections = new HashSet<>();
    private CallerLimits limits = CallerLimits.DEFAULT;
    private Channel channel;
    private AlignedSchedule.Repetition expiryTimer;
    private boolean draining;
    private long lastAcceptPass;
    private long bodiesRejected;
    private long unreadClosed;
    private long headsClosed;
    private long sentAheadClosed;

    private HttpServer(RequestHandler handler, ServerMemory memory, RequestIntake intake) {
        this.intake = Preconditions.checkNotNull(intake, "intake");
        this.turns = new RequestTurns(intake);
        int channels = memory.connections().limit().maxForCallers();
        this.backlog = Math.min(MAX_BACKLOG, channels);
        this.acceptsInARow = Math.max(1, Math.min(MAX_ACCEPTS_IN_A_ROW, channels / ACCEPT_PARTS));
        this.acceptClock = new AcceptClock(acceptsInARow, backlog);
        this.memory = Preconditions.checkNotNull(memory, "memory");
        this.handler = Preconditions.checkNotNull(handler, "handler");
    }

    /** Returns a budget for the bodies of all servers of a process, which is used on one event loop only. */
    public static BodyBudget newBodyBudget() {
        return ServerMemory.create().bodies();
    }

    /**
     * Binds a server with memory of its own to {@code address}.
     *
     * @throws IOException if the address can't be bound
     */
    public static HttpServer bind(InetSocketAddress address, EventLoopGroup loops, RequestHandler handler)
            throws IOException {
        return bind(address, loops, handler, ServerMemory.create(), RequestIntake.unmeasured(), CALLER_WINDOW_BYTES);
    }

    /**
     * Binds a server to {@code address}.
     *
     * @param intake intake of the one event loop of {@code loops}, or one that isn't measured
     * @param windowBytes number of bytes that the system takes for a connection before they are read
     * @throws IOException if the address can't be bound
     */
    public static HttpServer bind(
            InetSocketAddress address,
            EventLoopGroup loops,
            RequestHandler handler,
            ServerMemory memory,
            RequestIntake intake,
            int windowBytes)
            throws IOException {
        HttpServer server = new HttpServer(handler, memory, intake);
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, server.backlog)
                .option(ChannelOption.SO_REUSEADDR, true)
                // Connections inherit it.
                .option(ChannelOption.SO_RCVBUF, windowBytes)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(server.acceptsInARow))
                .handler(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelReadComplete(ChannelHandlerContext listener) {
                        server.acceptClock.endPass();
                        listener.fireChannelReadComplete();
                    }
                })
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                // Reads until nothing more has arrived, so that a close behind a request is seen with the request.
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                                .respectMaybeMoreData(false)
                                .maxMessagesPerRead(MAX_READS_IN_A_ROW))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel connection) {
                        HttpDecoderConfig decoderConfig = new HttpDecoderConfig()
                                .setMaxInitialLineLength(MAX_LINE_BYTES)
                                .setMaxHeaderSize(server.limits.maxHeaderBytes())
                                .setTrailersFactory(DiscardedTrailers.FACTORY);
                        ServerChannelHandler handler =
                                new ServerChannelHandler(server, decoderConfig, server.waitingSince());
                        connection
                                .pipeline()
                                .addLast(handler.decoder(), new ResponseEncoder(handler.decoder()), handler);
                    }
                });
        ChannelFuture bindFuture = bootstrap.bind(address).awaitUninterruptibly();
        if (!bindFuture.isSuccess()) {
            throw new IOException("failed to bind to " + address, bindFuture.cause());
        }
        server.channel = bindFuture.channel();
        server.expiryTimer = AlignedSchedule.repeat(
                server.channel.eventLoop(), server::closeExpiredConnections, EXPIRY_CHECK_INTERVAL);
        return server;
    }

    private void closeExpiredConnections() {
        long now = System.nanoTime();
        connections.stream().toList().forEach(connection -> connection.closeIfExpired(now));
    }

    /**
     * Rejects the request whose body has been incomplete for longest among those that give way to a body of
     * {@code bytes} on {@code requester}, for which there is no memory. Returns whether there was one.
     */
    private boolean rejectOldestBody(ServerChannelHandler requester, long bytes) {
        long now = System.nanoTime();
        Optional<ServerChannelHandler> oldest = connections.stream()
                .filter(connection -> connection != requester)
                .filter(connection -> memory.bodies().givesWay(connection.heldBytes(), connection.bodyAge(now), bytes))
                .max(Comparator.comparingLong(connection -> connection.bodyAge(now)));
        oldest.ifPresent(ServerChannelHandler::rejectBody);
        bodiesRejected += oldest.isPresent() ? 1 : 0;
        return oldest.isPresent();
    }

    /** Sets new limits. */
    public void setLimits(CallerLimits newLimits) {
        limits = newLimits;
    }

    /** Closes each connection after its next response, so that callers connect to another host. */
    public void startDraining() {
        draining = true;
    }

    /** Ends all requests in progress, each with the response that its handler has for it now. */
    public void endRequests() {
        // Each in a task of its own, so that a failure of one doesn't keep the others from ending.
        connections.forEach(connection -> channel.eventLoop().execute(connection::endRequest));
    }

    /** Stops listening and closes all connections at once. Reads nothing more. */
    public void close() {
        expiryTimer.cancel();
        channel.close();
        connections.stream().toList().forEach(ServerChannelHandler::close);
    }

    /** Returns how many requests were rejected because their incomplete bodies gave way to others. */
    public long bodiesRejected() {
        return bodiesRejected;
    }

    /** Returns how many connections were closed because their callers left too much of their responses unread. */
    public long unreadClosed() {
        return unreadClosed;
    }

    /** Returns the number of connections closed because of the memory that their heads took. */
    public long headsClosed() {
        return headsClosed;
    }

    /** Returns the number of connections closed because of the requests that their callers had sent ahead. */
    public long sentAheadClosed() {
        return sentAheadClosed;
    }

    /** Returns the number of connections with a request in progress or a response that has not been sent completely. */
    public long busyConnections() {
        return connections.stream().filter(ServerChannelHandler::isBusy).count();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    boolean isDraining() {
        return draining;
    }

    RequestHandler handler() {
        return handler;
    }

    RequestIntake intake() {
        return intake;
    }

    /** The queue was empty if the next pass didn't read from it, or found no input at once. */
    private long waitingSince() {
        long pass = intake.pass();
        if (pass != lastAcceptPass && !intake.isNextPassWithoutIdling(lastAcceptPass)) {
            acceptClock.queueWasEmpty();
        }
        lastAcceptPass = pass;
        return acceptClock.accepted(intake.readableSince(), System.nanoTime());
    }

    LongHeadBudget longHeads() {
        return memory.longHeads();
    }

    BodyBudget bodyBudget() {
        return memory.bodies();
    }

    /** Repeats {@code attempt} to get memory for a body of {@code bytes} while older bodies give way to it. */
    boolean findMemory(ServerChannelHandler requester, long bytes, BooleanSupplier attempt) {
        boolean found = attempt.getAsBoolean();
        while (!found && rejectOldestBody(requester, bytes)) {
            found = attempt.getAsBoolean();
        }
        return found;
    }

    /** Records the unsent bytes of a connection, and closes the one with the most while all have too many. */
    void recordUnsent(ServerChannelHandler connection, Channel itsChannel) {
        ChannelOutboundBuffer unsent = itsChannel.unsafe().outboundBuffer();
        recordUnsent(connection, unsent == null ? 0 : unsent.totalPendingWriteBytes());
    }

    /** Records that a connection has been closed. */
    void forgetUnsent(ServerChannelHandler connection) {
        recordUnsent(connection, 0);
    }

    private void recordUnsent(ServerChannelHandler connection, long bytes) {
        memory.unsent().record(connection, bytes).ifPresent(largest -> {
            unreadClosed++;
            largest.close();
        });
    }

    /** Records the bytes behind a connection's request, and closes the one with the most while all have too many. */
    void recordHeld(ServerChannelHandler connection, long bytes) {
        memory.held().record(connection, bytes).ifPresent(largest -> {
            sentAheadClosed++;
            // Not at once: the connection may be decoding these bytes.
            channel.eventLoop().execute(largest::close);
        });
    }

    /** Returns the turns of connections with requests that were sent ahead. */
    RequestTurns turns() {
        return turns;
    }

    /** Records the memory of a connection's heads, and closes the one with the most while all have too much. */
    void recordHeads(ServerChannelHandler connection, long bytes) {
        memory.heads().record(connection, bytes).ifPresent(largest -> {
            headsClosed++;
            // Not at once: the connection may be reading this field.
            channel.eventLoop().execute(largest::close);
        });
    }

    int maxBodyBytes() {
        return limits.maxBodyBytes();
    }

    long bodyNanos() {
        return limits.idleTimeout().toNanos();
    }

    long idleNanos() {
        return limits.idleTimeout().plus(IDLE_MARGIN).toNanos();
    }

    void onOpened(ServerChannelHandler connection) {
        connections.add(connection);
        memory.connections().add(connection);
    }

    void onClosed(ServerChannelHandler connection) {
        connections.remove(connection);
        memory.connections().remove(connection);
    }
}
