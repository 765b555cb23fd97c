package org.toucanlane.platform.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that a copy of an earlier response, whole or in part, isn't taken for the next one: see docs/incidents/0013. */
class LateCopyTest {

    private static final String STALE =
            "HTTP/1.1 200 Some Reason\r\nX-Revision: 7\r\nVia: HTTP/1.1 127.0.0.1\r\nContent-Length: 2\r\n\r\n[]";
    private static final String NEXT = "HTTP/1.1 500 X\r\nX-Revision: 8\r\nContent-Length: 5\r\n\r\nerror";
    private static final int PAUSE_MILLIS = 2;

    /** When the copy is written. */
    private enum Time {
        WITH_THE_FIRST_RESPONSE {
            @Override
            void answer(int exchange, String copy, ScriptedServer.Connection out) throws IOException {
                out.write(exchange == 1 ? STALE + copy : NEXT);
            }
        },
        WHILE_IDLE {
            @Override
            void answer(int exchange, String copy, ScriptedServer.Connection out) throws IOException {
                if (exchange == 1) {
                    out.write(STALE);
                    pause();
                    out.write(copy);
                } else {
                    out.write(NEXT);
                }
            }
        },
        BEFORE_THE_NEXT_RESPONSE {
            @Override
            void answer(int exchange, String copy, ScriptedServer.Connection out) throws IOException {
                if (exchange == 1) {
                    out.write(STALE);
                } else {
                    out.write(copy);
                    pause();
                    out.write(NEXT);
                }
            }
        },
        WITH_THE_NEXT_RESPONSE {
            @Override
            void answer(int exchange, String copy, ScriptedServer.Connection out) throws IOException {
                out.write(exchange == 1 ? STALE : copy + NEXT);
            }
        };

        abstract void answer(int exchange, String copy, ScriptedServer.Connection out) throws IOException;
    }

    private static Stream<Arguments> cases() {
        return Stream.of(Client.values())
                .flatMap(client -> Stream.of(Time.values()).map(time -> Arguments.of(client, time)));
    }

    /** The server answers the first request with a success and each later one with an error. */
    @ParameterizedTest
    @MethodSource("cases")
    void takesNoCopyForTheNextResponse(Client client, Time time) throws Exception {
        List<String> wrong = new ArrayList<>();
        for (int size = 1; size <= STALE.length(); size++) {
            String copy = STALE.substring(0, size);
            AtomicInteger answered = new AtomicInteger();
            ScriptedServer.Script script = (exchange, out) -> {
                if (answered.incrementAndGet() == 1) {
                    time.answer(1, copy, out);
                    return;
                }
                if (exchange == 1) {
                    out.write(NEXT);
                } else {
                    time.answer(exchange, copy, out);
                }
                out.close();
            };
            try (ScriptedServer server = new ScriptedServer(script);
                    Client.Caller caller = client.open(server.address())) {
                assertThat(caller.send()).doesNotStartWith(Client.Caller.FAILED);
                pause();
                String outcome = caller.send();
                if (!outcome.startsWith(Client.Caller.FAILED) && !outcome.equals("500error")) {
                    wrong.add(size + " bytes of the copy: " + outcome);
                }
            }
        }
        assertThat(wrong).isEmpty();
    }

    /** Both come in response to the same request. */
    @ParameterizedTest
    @EnumSource(Client.class)
    void doesNotJoinABrokenOffResponseWithTheNext(Client client) throws Exception {
        List<String> wrong = new ArrayList<>();
        for (int size = 1; size < STALE.indexOf("\r\n\r\n") + 4; size++) {
            String brokenOff = STALE.substring(0, size);
            ScriptedServer.Script script = (exchange, out) -> {
                out.write(brokenOff + NEXT);
                out.close();
            };
            try (ScriptedServer server = new ScriptedServer(script);
                    Client.Caller caller = client.open(server.address())) {
                String outcome = caller.send();
                if (!outcome.startsWith(Client.Caller.FAILED)) {
                    wrong.add(size + " bytes: " + outcome);
                }
            }
        }
        assertThat(wrong).isEmpty();
    }

    private static void pause() throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }
}
