package org.toucanlane.gateway.once;

import com.google.common.base.Preconditions;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.outcome.RequestFailedException;
import org.toucanlane.gateway.dispatch.GatewayResponse;

/** A complete response in memory, in the form in which it is stored for repeats. Not thread-safe. */
final class StoredResponse implements GatewayResponse {

    /** Maximum size of a body that is stored for repeats, in bytes. */
    static final int MAX_STORED_BYTES = 4 * 1024;

    /** Maximum size of the response body of a keyed, non-repeatable request, in bytes. */
    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    private static final int BUFFER_BYTES = 8 * 1024;

    private final int status;
    private final String contentType;
    private final String dataCentre;
    private final byte[] body;
    private int position;

    private StoredResponse(int status, String contentType, String dataCentre, byte[] body) {
        this.status = status;
        this.contentType = contentType;
        this.dataCentre = dataCentre;
        this.body = body;
    }

    /** Reads {@code answer} to its end. */
    static StoredResponse read(GatewayResponse answer) throws RequestFailedException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        byte[] buffer = new byte[BUFFER_BYTES];
        int count = answer.read(buffer);
        while (count >= 0) {
            body.write(buffer, 0, count);
            if (body.size() > MAX_BODY_BYTES) {
                throw new RequestFailedException(ErrorKind.ANSWER_INCOMPLETE, "the answer is too long");
            }
            count = answer.read(buffer);
        }
        return new StoredResponse(answer.status(), answer.contentType(), answer.dataCentre(), body.toByteArray());
    }

    /**
     * Returns what is stored in place of a response that exceeds {@link #MAX_STORED_BYTES}: its status, and a body that
     * says that the action ran.
     */
    static StoredResponse oversizedPlaceholder(int status) {
        byte[] body = "{\"ran\":\"ran\",\"message\":\"the first answer was too long to be kept\"}"
                .getBytes(StandardCharsets.UTF_8);
        return new StoredResponse(status, "application/json", "", body);
    }

    boolean isStorable() {
        return body.length <= MAX_STORED_BYTES;
    }

    byte[] encode() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeInt(status);
            out.writeUTF(contentType);
            out.writeUTF(dataCentre);
            out.writeInt(body.length);
            out.write(body);
        } catch (IOException e) {
            throw new UncheckedIOException("failed to write to an in-memory stream", e);
        }
        return bytes.toByteArray();
    }

    static StoredResponse decode(byte[] bytes) throws RequestFailedException {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            int status = in.readInt();
            String contentType = in.readUTF();
            String dataCentre = in.readUTF();
            int length = in.readInt();
            Preconditions.checkArgument(length >= 0 && length <= MAX_BODY_BYTES, "invalid body length: %s", length);
            return new StoredResponse(status, contentType, dataCentre, in.readNBytes(length));
        } catch (IOException | IllegalArgumentException e) {
            throw new RequestFailedException(ErrorKind.REPEAT_UNRESOLVED, "the kept answer is unreadable", e);
        }
    }

    @Override
    public int status() {
        return status;
    }

    @Override
    public String contentType() {
        return contentType;
    }

    @Override
    public String dataCentre() {
        return dataCentre;
    }

    @Override
    public int read(byte[] buffer) {
        if (position == body.length) {
            return -1;
        }
        int count = Math.min(buffer.length, body.length - position);
        System.arraycopy(body, position, buffer, 0, count);
        position += count;
        return count;
    }

    @Override
    public void close() {
        // The response holds no resources.
    }
}
