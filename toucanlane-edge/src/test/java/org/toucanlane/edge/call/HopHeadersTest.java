package org.toucanlane.edge.call;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.policy.retry.RetryPolicy;

class HopHeadersTest {

    @Test
    void readsWhatWasWritten() throws Exception {
        HopHeaders.Hop hop =
                new HopHeaders.Hop("a", Optional.of("acme"), Duration.ofMillis(900), 2, 7, Optional.of("12"));
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        HopHeaders.write(request.headers(), hop);
        assertThat(HopHeaders.read(request)).isEqualTo(hop);
    }

    @Test
    void rejectsRequestWithoutHopHeaders() {
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        assertThatThrownBy(() -> HopHeaders.read(request)).isInstanceOf(InvalidCallException.class);
    }

    /** A retry after a refusal by an endpoint must count against the retry budget, whichever host sends the retry. */
    @Test
    void classifiesRefusalByWhetherAnEndpointWasReached() {
        assertThat(kindOf(ErrorKind.OVERLOADED, false)).isEqualTo(RetryPolicy.FailureKind.NOT_SENT);
        assertThat(kindOf(ErrorKind.OVERLOADED, true)).isEqualTo(RetryPolicy.FailureKind.REFUSED);
        assertThat(kindOf(ErrorKind.ENDPOINT_FAILED, true)).isEqualTo(RetryPolicy.FailureKind.MAY_HAVE_RUN);
        assertThat(kindOf(ErrorKind.TIMED_OUT, false)).isEqualTo(RetryPolicy.FailureKind.MAY_HAVE_RUN);
    }

    @Test
    void onlyAQuarantineAppliesToAllHosts() {
        assertThat(ErrorKind.values())
                .filteredOn(kind -> refusal(kind, false).appliesToAllHosts())
                .containsExactly(ErrorKind.PROMPT_QUARANTINED);
    }

    private static RetryPolicy.FailureKind kindOf(ErrorKind kind, boolean sent) {
        return refusal(kind, sent).repeatKind();
    }

    private static HopHeaders.HopRefusal refusal(ErrorKind kind, boolean sent) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
        HopHeaders.markRefusal(response.headers(), kind, sent);
        return HopHeaders.readRefusal(response).orElseThrow();
    }
}
