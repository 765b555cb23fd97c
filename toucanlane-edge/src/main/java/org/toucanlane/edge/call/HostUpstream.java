package org.toucanlane.edge.call;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.toucanlane.edge.fleet.HostHandle;
import org.toucanlane.edge.fleet.Reservation;
import org.toucanlane.edge.http.ExchangeListener;

/** An upstream that is a host in another region, which sends the request to an endpoint there. */
final class HostUpstream implements Upstream {

    private final HostHandle host;

    HostUpstream(HostHandle host) {
        this.host = host;
    }

    @Override
    public void send(FullHttpRequest request, ExchangeListener listener) {
        host.pool().send(request, listener);
    }

    @Override
    public Optional<HopHeaders.HopRefusal> readRefusal(HttpResponse response) {
        return HopHeaders.readRefusal(response);
    }

    @Override
    public void recordProgress() {
        // Liveness of a host is derived from its reports, not from responses.
    }

    @Override
    public void recordFirstResponse() {
        // The other host tracks the load of its own endpoints.
    }

    @Override
    public void recordAnswer() {
        // The other host watches its own endpoints for crashes.
    }

    @Override
    public void recordCompleteAnswer() {
        // The other host watches its own endpoints for crashes.
    }

    @Override
    public void recordConnectionLost(boolean answering) {
        // The other host watches its own endpoints for crashes.
    }

    @Override
    public void recordEndWithConnection() {
        // The other host watches its own endpoints for crashes.
    }

    @Override
    public void release(Reservation.Outcome result) {
        // The other host releases the reservation on its endpoint.
    }

    @Override
    public void markLeaving() {
        // The other host stops using its endpoint.
    }

    @Override
    public void pause(Duration time) {
        // The other host pauses its endpoint.
    }

    @Override
    public void recordRequestLimit(OptionalDouble requestsPerSecond) {
        // The other host limits its requests to its endpoint.
    }

    @Override
    public void markReplaced() {
        // The address of a host can't be reassigned while its lease is held.
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
