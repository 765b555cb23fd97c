package org.toucanlane.edge.call;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.toucanlane.edge.fleet.Reservation;
import org.toucanlane.edge.http.ExchangeListener;

/** Where one attempt of a request goes: an endpoint, or another host. Used on the host's event loop only. */
interface Upstream {

    /** Sends the request. */
    void send(FullHttpRequest request, ExchangeListener exchange);

    /** Returns what another host says if the answer is its own, not an endpoint's. */
    Optional<HopHeaders.HopRefusal> readRefusal(HttpResponse response);

    /** Notes that something has come. */
    void recordProgress();

    /** Notes that the first answer has come. */
    void recordFirstResponse();

    /** Gives the place back. */
    void release(Reservation.Result result);

    /** Notes that another endpoint has the address now. */
    void markReplaced();

    /** Returns the name of the endpoint or the host. */
    String name();

    /** Returns whether it is another host, which may send the request to several endpoints. */
    boolean isHost();
}
