package org.toucanlane.platform.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that a response whose connection ends within it isn't taken for a complete one: see docs/incidents/0012. */
class CutOffResponseTest {

    private static final String BODY = "[]";

    /** The framing of a response's body. */
    private enum Framing {
        LENGTH("Content-Length: 2\r\n", BODY),
        CHUNKS("Transfer-Encoding: chunked\r\n", "2\r\n" + BODY + "\r\n0"),
        CONNECTION("", BODY);

        private final String head;
        private final String body;

        Framing(String header, String body) {
            this.head = "HTTP/1.1 200 OK\r\nX-Revision: 7\r\n" + header + "\r\n";
            this.body = body;
        }
    }

    private static Stream<Arguments> cases() {
        return Stream.of(Client.values())
                .flatMap(client -> Stream.of(Framing.values())
                        .flatMap(framing -> Stream.of(false, true)
                                .flatMap(reset -> Stream.of(false, true)
                                        .map(second -> Arguments.of(client, framing, reset, second)))));
    }

    /** Chunks are complete once the last chunk has begun; the bytes behind it add nothing (RFC 9112, section 8). */
    @ParameterizedTest
    @MethodSource("cases")
    void takesNoCutOffResponseForACompleteOne(Client client, Framing framing, boolean reset, boolean second)
            throws Exception {
        List<String> wrong = new ArrayList<>();
        try (ScriptedServer server = new ScriptedServer((exchange, out) -> out.close());
                Client.Caller caller = client.open(server.address())) {
            for (int size = 0; size < framing.head.length() + framing.body.length(); size++) {
                if (second) {
                    server.setScript((exchange, out) -> out.write(Framing.LENGTH.head + BODY));
                    assertThat(caller.send()).doesNotStartWith(Client.Caller.FAILED);
                }
                String part = (framing.head + framing.body).substring(0, size);
                server.setScript((exchange, out) -> writeAndEnd(out, part, reset));
                String outcome = caller.send();
                boolean endsWithItsConnection = framing == Framing.CONNECTION && !reset && part.contains("\r\n\r\n");
                if (!outcome.startsWith(Client.Caller.FAILED) && !endsWithItsConnection) {
                    wrong.add(size + " of " + framing.head.length() + " bytes of a head: " + outcome);
                }
            }
        }
        assertThat(wrong).isEmpty();
    }

    private static void writeAndEnd(ScriptedServer.Connection out, String part, boolean reset) throws IOException {
        out.write(part);
        if (reset) {
            out.reset();
        } else {
            out.close();
        }
    }
}
