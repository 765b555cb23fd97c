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
 * Streams a response to the caller as it is received.
 *
 * <p>A truncated response never looks complete: an event stream ends with an error event, and the connection is always
 * closed before the end of the body. A slow caller blocks this writer, which then stops reading and so applies
 * backpressure to the endpoint. May be used only once.
 */
final class ResponseWriter implements StreamingOutput {

    private static final int BUFFER_BYTES = 16 * 1024;

    private final RunningRequest request;
    private final GatewayResponse response;
    private final boolean streaming;
    private final CallerConnection connection;

    ResponseWriter(RunningRequest request, GatewayResponse response, boolean streaming, CallerConnection connection) {
        this.request = request;
        this.response = response;
        this.streaming = streaming;
        this.connection = connection;
    }

    @Override
    public void write(OutputStream out) throws IOException {
        RequestRecord requestRecord = request.requestRecord();
        try (request;
                response) {
            copyChunks(out, requestRecord);
            requestRecord.recordResponse(response.status());
        } catch (RequestFailedException e) {
            RequestFailedException failure = request.isKeyRevoked()
                    ? new RequestFailedException(ErrorKind.KEY_WITHDRAWN, "the key was withdrawn", e)
                    : e;
            requestRecord.recordFailure(failure);
            abort(out, failure);
        } catch (IOException e) {
            requestRecord.recordFailure(new RequestFailedException(ErrorKind.CANCELLED, "the caller went away", e));
            throw e;
        }
    }

    private void copyChunks(OutputStream out, RequestRecord requestRecord) throws IOException, RequestFailedException {
        byte[] buffer = new byte[BUFFER_BYTES];
        int count = response.read(buffer);
        while (count >= 0) {
            requestRecord.recordChunk();
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
        throw new IOException("incomplete answer: " + failure.getMessage());
    }

    private RequestRecord requestRecord() {
        return request.requestRecord();
    }
}
