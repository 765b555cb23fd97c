package org.toucanlane.gateway.caller;

import jakarta.ws.rs.core.StreamingOutput;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.outcome.RequestFailedException;
import org.toucanlane.gateway.dispatch.GatewayResponse;
import org.toucanlane.gateway.telemetry.RequestRecord;

/**
 * Writes an answer to its caller as it comes.
 *
 * <p>An answer that breaks off is never made to look whole: a stream gets an error event, and the connection is broken
 * before the body's end in any case. A slow caller blocks this writer, which stops reading, which stops the endpoint.
 * Used once.
 */
final class AnswerWriter implements StreamingOutput {

    private static final int BUFFER_BYTES = 16 * 1024;

    private final RunningRequest request;
    private final GatewayResponse answer;
    private final boolean streamed;
    private final CallerConnection connection;

    AnswerWriter(RunningRequest request, GatewayResponse answer, boolean streamed, CallerConnection connection) {
        this.request = request;
        this.answer = answer;
        this.streamed = streamed;
        this.connection = connection;
    }

    @Override
    public void write(OutputStream out) throws IOException {
        RequestRecord log = request.log();
        try (request;
                answer) {
            copy(out, log);
            log.answered(answer.status());
        } catch (RequestFailedException e) {
            RequestFailedException failure = request.isWithdrawn()
                    ? new RequestFailedException(ErrorKind.KEY_WITHDRAWN, "the key was withdrawn", e)
                    : e;
            log.failed(failure);
            breakOff(out, failure);
        } catch (IOException e) {
            log.failed(new RequestFailedException(ErrorKind.CANCELLED, "the caller went away", e));
            throw e;
        }
    }

    private void copy(OutputStream out, RequestRecord log) throws IOException, RequestFailedException {
        byte[] buffer = new byte[BUFFER_BYTES];
        int count = answer.read(buffer);
        while (count >= 0) {
            log.piece();
            out.write(buffer, 0, count);
            out.flush();
            count = answer.read(buffer);
        }
    }

    private void breakOff(OutputStream out, RequestFailedException failure) throws IOException {
        if (streamed) {
            String event = "\n\nevent: error\ndata: " + Refusals.body(log().requestId(), failure) + "\n\n";
            out.write(event.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
        connection.breakOff();
        throw new IOException("the answer broke off: " + failure.getMessage());
    }

    private RequestRecord log() {
        return request.log();
    }
}
