package org.toucanlane.edge.call;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.toucanlane.edge.fleet.HostHandle;
import org.toucanlane.edge.fleet.Reservation;
import org.toucanlane.edge.http.ExchangeListener;

/** A host of another region, which sends the request to an endpoint there. */
final class HostUpstream implements Upstream {

    private final HostHandle host;

    HostUpstream(HostHandle host) {
        this.host = host;
    }

    @Override
    public void send(FullHttpRequest request, ExchangeListener exchange) {
        host.pool().send(request, exchange);
    }

    @Override
    public Optional<HopHeaders.HopRefusal> readRefusal(HttpResponse response) {
        return HopHeaders.readRefusal(response);
    }

    @Override
    public void recordProgress() {
        // Reports, not answers, tell whether a host is there.
    }

    @Override
    public void recordFirstResponse() {
        // The other host keeps the account of its endpoints.
    }

    @Override
    public void release(Reservation.Result result) {
        // As above.
    }

    @Override
    public void markReplaced() {
        // A host's address is bound to its lease.
    }

    @Override
    public String name() {
        return host.entry().name();
    }

    @Override
    public boolean isHost() {
        return true;
    }
}
