package org.toucanlane.edge.call;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.toucanlane.edge.fleet.EndpointHandle;
import org.toucanlane.edge.fleet.RequestLimit;
import org.toucanlane.edge.fleet.Reservation;
import org.toucanlane.edge.http.ExchangeListener;
import org.toucanlane.edge.telemetry.DecisionLog;

/** An upstream that is an endpoint in this host's region. */
final class EndpointUpstream implements Upstream {

    private final EndpointHandle endpoint;
    private final Reservation reservation;
    private final CrashDetector.Watch watch;
    private final DecisionLog log;
    private final long createdAt = System.nanoTime();

    EndpointUpstream(EndpointHandle endpoint, Reservation reservation, CrashDetector.Watch watch, DecisionLog log) {
        this.endpoint = endpoint;
        this.reservation = reservation;
        this.watch = watch;
        this.log = log;
    }

    @Override
    public void send(FullHttpRequest request, ExchangeListener listener) {
        endpoint.pool().send(request, listener);
    }

    @Override
    public Optional<HopHeaders.HopRefusal> readRefusal(HttpResponse response) {
        return Optional.empty();
    }

    @Override
    public void recordProgress() {
        endpoint.recordProgress(System.nanoTime());
    }

    @Override
    public void recordFirstResponse() {
        reservation.recordFirstResponse();
    }

    @Override
    public void recordAnswer() {
        watch.recordAnswer(System.nanoTime());
    }

    @Override
    public void recordCompleteAnswer() {
        watch.recordCompleteAnswer(System.nanoTime());
    }

    @Override
    public void recordConnectionLost(boolean answering) {
        watch.recordConnectionLost(answering, System.nanoTime());
    }

    @Override
    public void recordEndWithConnection() {
        watch.recordEndWithConnection(System.nanoTime());
    }

    @Override
    public void release(Reservation.Outcome result) {
        reservation.end(result);
    }

    @Override
    public void markLeaving() {
        endpoint.drain();
    }

    @Override
    public void pause(Duration time) {
        endpoint.pause(time, System.nanoTime());
    }

    @Override
    public void recordRequestLimit(OptionalDouble requestsPerSecond) {
        RequestLimit limit = endpoint.requestLimit();
        OptionalDouble before = limit.named();
        limit.update(requestsPerSecond, createdAt, System.nanoTime());
        OptionalDouble after = limit.named();
        if (!after.equals(before)) {
            log.stateChange(
                    "endpoint_request_limit",
                    "endpoint",
                    endpoint.id(),
                    "limited",
                    after.isPresent(),
                    "requests_per_second",
                    after.orElse(0));
        }
    }

    @Override
    public void markReplaced() {
        endpoint.drain();
    }

    @Override
    public String name() {
        return endpoint.id();
    }

    @Override
    public boolean isHost() {
        return false;
    }
}
