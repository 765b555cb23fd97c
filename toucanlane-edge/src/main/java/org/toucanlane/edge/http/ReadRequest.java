package org.toucanlane.edge.http;

import io.netty.channel.Channel;
import java.util.Optional;
import org.toucanlane.policy.overload.ArrivalQueue;

/**
 * A request that has been read, and is handled if its caller hasn't left meanwhile. Used on the event loop of its connection
 * only.
 */
final class ReadRequest implements RequestIntake.Arrival {

    private final Channel channel;
    private final RequestHandler handler;
    private final InboundRequest inbound;
    private final boolean complete;
    private Optional<RequestHandler.Prepared> prepared = Optional.empty();

    /**
     * Creates a request.
     *
     * @param channel connection of its caller
     * @param complete whether its body was read completely; there was no memory for it otherwise
     */
    ReadRequest(Channel channel, RequestHandler handler, InboundRequest inbound, boolean complete) {
        this.channel = channel;
        this.handler = handler;
        this.inbound = inbound;
        this.complete = complete;
    }

    @Override
    public long since() {
        return inbound.receivedAt();
    }

    @Override
    public Optional<ArrivalQueue.Terms> terms() {
        if (complete && channel.isActive()) {
            closeOnFailure(this::prepare);
        }
        return prepared.map(RequestHandler.Prepared::terms);
    }

    private void prepare() {
        try {
            prepared = handler.prepare(inbound);
        } catch (RuntimeException | Error e) {
            inbound.body().release();
            throw e;
        }
    }

    @Override
    public void handle() {
        ifOpen(() -> {
            if (prepared.isPresent()) {
                prepared.get().handle();
            } else if (complete) {
                handler.handle(inbound);
            } else {
                handler.refuseForMemory(inbound);
            }
        });
    }

    @Override
    public void refuseAsLate() {
        ifOpen(() -> prepared.ifPresent(RequestHandler.Prepared::refuseAsLate));
    }

    private void ifOpen(Runnable action) {
        if (channel.isActive()) {
            closeOnFailure(action);
        } else {
            inbound.body().release();
        }
    }

    private void closeOnFailure(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException | Error e) {
            // Nothing else would end the request. The event loop logs the failure.
            channel.close();
            throw e;
        }
    }
}
