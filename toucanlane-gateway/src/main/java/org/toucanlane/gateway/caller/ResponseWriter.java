package org.toucanlane.gateway.caller;

import jakarta.ws.rs.core.StreamingOutput;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.outcome.RequestFailedException;
import org.toucanlane.gateway.dispatch.Answer;
import org.toucanlane.gateway.telemetry.RequestRecord;

/**
 * Writes an answer to its caller as it comes.
 *
 * <p>An answer that breaks off is never made to look whole: a stream gets an error event, and the connection is broken
 * before the body's end in any case. A slow caller blocks this writer, which stops reading, which stops the endpoint.
 * Used once.
 */
final class ResponseWriter implements StreamingOutput {

    private static final int BUFFER_BYTES = 16 * 1024;

    private final RunningRequest request;
    private final Answer response;
    private final boolean streaming;
    private final CallerConnection connection;

    ResponseWriter(RunningRequest request, Answer answer, boolean streamed, CallerConnection connection) {
        this.request = request;
        this.response = answer;
        this.streaming = streamed;
        this.connection = connection;
    }

    @Override
    public void write(OutputStream out) throws IOException {
        RequestRecord log = request.requestRecord();
        try (request;
                response) {
            copyChunks(out, log);
            log.recordResponse(response.status());
        } catch (RequestFailedException e) {
            RequestFailedException failure = request.isKeyRevoked()
                    ? new RequestFailedException(ErrorKind.KEY_WITHDRAWN, "the key was withdrawn", e)
                    : e;
            log.recordFailure(failure);
            abort(out, failure);
        } catch (IOException e) {
            log.recordFailure(new RequestFailedException(ErrorKind.CANCELLED, "the caller went away", e));
            throw e;
        }
    }

    private void copyChunks(OutputStream out, RequestRecord log) throws IOException, RequestFailedException {
        byte[] buffer = new byte[BUFFER_BYTES];
        int count = response.read(buffer);
        while (count >= 0) {
            log.recordChunk();
            out.write(buffer, 0, count);
            out.flush();
            count = response.read(buffer);
        }
    }

    private void abort(OutputStream out, RequestFailedException failure) throws IOException {
        if (streaming) {
            String event = "\n\nevent: error\ndata: "
                    + ErrorResponses.body(requestRecord().requestId(), failure) + "\n\n";
            out.write(event.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
        connection.close();
        throw new IOException("the answer broke off: " + failure.getMessage());
    }

    private RequestRecord requestRecord() {
        return request.requestRecord();
    }
}
