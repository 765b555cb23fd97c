package org.toucanlane.edge.call;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class RequestFingerprintTest {

    private static ByteBuf body(String... parts) {
        return Unpooled.wrappedBuffer(Stream.of(parts)
                .map(part -> Unpooled.copiedBuffer(part, StandardCharsets.UTF_8))
                .toArray(ByteBuf[]::new));
    }

    private static String fingerprint(HttpMethod method, String uri, String account, ByteBuf body) {
        return RequestFingerprint.of(method, uri, Optional.of(account), body);
    }

    @Test
    void equalRequestsHaveTheSameFingerprint() {
        String first = fingerprint(HttpMethod.POST, "/a/b?c=d", "acme", body("one two"));
        assertThat(fingerprint(HttpMethod.POST, "/a/b?c=d", "acme", body("one", " two")))
                .isEqualTo(first);
        assertThat(first).matches("r[0-9a-f]{16}");
    }

    @Test
    void eachPartOfARequestMatters() {
        assertThat(Stream.of(
                        fingerprint(HttpMethod.POST, "/a", "acme", body("one")),
                        fingerprint(HttpMethod.PUT, "/a", "acme", body("one")),
                        fingerprint(HttpMethod.POST, "/b", "acme", body("one")),
                        fingerprint(HttpMethod.POST, "/a?b", "acme", body("one")),
                        fingerprint(HttpMethod.POST, "/a", "other", body("one")),
                        fingerprint(HttpMethod.POST, "/a", "acme", body("two")),
                        fingerprint(HttpMethod.POST, "/aa", "cme", body("one")),
                        fingerprint(HttpMethod.POST, "/a", "acm", body("eone")),
                        RequestFingerprint.of(HttpMethod.POST, "/a", Optional.empty(), Unpooled.EMPTY_BUFFER)))
                .doesNotHaveDuplicates();
    }

    @Test
    void leavesTheBodyAsItIs() {
        ByteBuf body = body("one", "two").skipBytes(1);
        fingerprint(HttpMethod.POST, "/a", "acme", body);
        assertThat(body.toString(StandardCharsets.UTF_8)).isEqualTo("netwo");
    }
}
