package org.toucanlane.edge.state;

import com.google.common.base.Splitter;
import com.google.common.primitives.Longs;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.toucanlane.coordination.store.StoreChanges;
import org.toucanlane.coordination.store.StoreRevision;
import org.toucanlane.edge.fleet.HostHandle;
import org.toucanlane.edge.http.BufferedExchange;
import org.toucanlane.edge.http.InboundRequest;
import org.toucanlane.edge.http.RequestHandler;
import org.toucanlane.edge.http.ServerRejection;

/**
 * Passes changes of the store between the hosts of a region, over the connections for forwarded requests.
 *
 * <p>Invariant: what a host answers is complete from the revision asked for, or an error; the asking host reads the store
 * then. No proof that nothing newer is in the store travels this way. Used on the host's event loop only.
 */
public final class ChangeExchange implements PeerChanges {

    /** Marks a request for changes, and names the revision after which they are wanted. */
    private static final String CHANGES_AFTER = "toucanlane-changes-after";

    /** Maximum time for the answer of a host of the same region; the store is asked afterwards. */
    private static final Duration MAX_TIME = Duration.ofMillis(300);

    /** Maximum size of an answer: larger than all that a host keeps. */
    private static final int MAX_BYTES = 4 << 20;

    private final EventLoop loop;
    private final Supplier<Optional<HostHandle>> watcher;

    /**
     * Creates an exchange.
     *
     * @param watcher returns the other host of the region that watches the store, if any
     */
    public ChangeExchange(EventLoop loop, Supplier<Optional<HostHandle>> watcher) {
        this.loop = loop;
        this.watcher = watcher;
    }

    @Override
    public Optional<CompletableFuture<StoreChanges>> since(StoreRevision revision) {
        return watcher.get().map(host -> {
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
            request.headers().set(HttpHeaderNames.HOST, host.entry().address());
            request.headers().set(CHANGES_AFTER, revision.era() + "," + revision.number());
            return BufferedExchange.send(host.pool(), loop, request, MAX_TIME, MAX_BYTES)
                    .thenCompose(response -> read(host, response));
        });
    }

    private static CompletableFuture<StoreChanges> read(HostHandle host, BufferedExchange.Response response) {
        try {
            if (response.status() != HttpResponseStatus.OK.code()) {
                throw new IOException(
                        "host " + host.entry().name() + " answered a request for changes with " + response.status());
            }
            return CompletableFuture.completedFuture(ChangesEncoding.decode(response.body()));
        } catch (IOException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /**
     * Returns a handler that answers requests for changes, and passes all others to {@code next}.
     *
     * @param changes returns the changes after a revision, or empty if some of them are not known
     */
    public static RequestHandler handler(Function<StoreRevision, Optional<StoreChanges>> changes, RequestHandler next) {
        return new Handler(changes, next);
    }

    private record Handler(Function<StoreRevision, Optional<StoreChanges>> changes, RequestHandler next)
            implements RequestHandler {

        @Override
        public void handle(InboundRequest request) {
            String after = request.head().headers().get(CHANGES_AFTER);
            if (after == null) {
                next.handle(request);
                return;
            }
            request.body().release();
            Optional<byte[]> known = parse(after).flatMap(changes).map(ChangesEncoding::encode);
            ByteBuf body = Unpooled.wrappedBuffer(known.orElse(new byte[0]));
            HttpResponseStatus status = known.isPresent() ? HttpResponseStatus.OK : HttpResponseStatus.NOT_FOUND;
            request.responder().respond(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body));
        }

        private static Optional<StoreRevision> parse(String text) {
            List<String> parts = Splitter.on(',').splitToList(text);
            Long era = Longs.tryParse(parts.get(0));
            Long number = parts.size() == 2 ? Longs.tryParse(parts.get(1)) : null;
            return era == null || number == null ? Optional.empty() : Optional.of(new StoreRevision(era, number));
        }

        @Override
        public Optional<Prepared> prepare(InboundRequest request) {
            return request.head().headers().contains(CHANGES_AFTER) ? Optional.empty() : next.prepare(request);
        }

        @Override
        public void refuseForMemory(InboundRequest request) {
            next.refuseForMemory(request);
        }

        @Override
        public ServerRejection rejectionFor(ServerRejection.Reason reason) {
            return next.rejectionFor(reason);
        }
    }
}
