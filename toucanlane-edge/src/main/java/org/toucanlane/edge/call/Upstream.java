package org.toucanlane.edge.call;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.toucanlane.edge.fleet.Reservation;
import org.toucanlane.edge.http.ExchangeListener;

/** The target of a single attempt: an endpoint or another host. Used on the host's event loop only. */
interface Upstream {

    /** Sends the request. */
    void send(FullHttpRequest request, ExchangeListener listener);

    /** Returns the refusal if another host generated the response itself, or empty if an endpoint did. */
    Optional<HopHeaders.HopRefusal> readRefusal(HttpResponse response);

    /** Records that response data has arrived. */
    void recordProgress();

    /** Records that the first part of the response has arrived. */
    void recordFirstResponse();

    /** Records that a part of the answer itself has arrived: an event of a stream, or a part of another body. */
    void recordAnswer();

    /** Records that a successful answer is complete. */
    void recordCompleteAnswer();

    /**
     * Records that the other side has closed or reset the connection before the answer was complete.
     *
     * @param answering whether the head of the answer had arrived
     */
    void recordConnectionLost(boolean answering);

    /** Records that an answer has ended with its connection, so that it isn't known whether it is complete. */
    void recordEndWithConnection();

    /** Releases the reservation held for the attempt and records its result. */
    void release(Reservation.Outcome result);

    /** Records that the upstream has announced that it is leaving; it gets no further requests. */
    void markLeaving();

    /** Records that the upstream wants no requests from this host for {@code time}. */
    void pause(Duration time);

    /**
     * Records what a response to this attempt says about the rate of requests.
     *
     * @param requestsPerSecond rate that the endpoint takes from all hosts together, or empty if it doesn't limit them
     */
    void recordRequestLimit(OptionalDouble requestsPerSecond);

    /** Records that the address now belongs to another endpoint. */
    void markReplaced();

    /** Returns the name of the endpoint or of the host. */
    String name();

    /** Returns whether the upstream is another host, which may send the request to several endpoints. */
    boolean isHost();
}
