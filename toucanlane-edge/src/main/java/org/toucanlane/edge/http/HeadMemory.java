package org.toucanlane.edge.http;

import io.netty.handler.codec.http.HttpRequest;
import org.toucanlane.policy.admission.LongHeadBudget;

/**
 * The heap memory that the heads of one connection take: that of their fields from the first of them on, and that of a long
 * head while its request is in progress.
 *
 * <p>Invariant: what was taken is given back when the request ends or the connection is closed. Used on one event loop only.
 */
final class HeadMemory {

    /** Memory that a field of a head takes besides its text. */
    private static final int FIELD_BYTES = 200;

    /** Number of fields after which the memory of a connection's heads is recorded; an ordinary head has fewer. */
    private static final int RECORDED_FIELDS = 64;

    private final HttpServer server;
    private final ServerChannelHandler connection;

    /** Fields that have been read and not answered yet, and those of the request in progress. */
    private int fields;

    private int activeFields;
    private long activeBytes;

    HeadMemory(HttpServer server, ServerChannelHandler connection) {
        this.server = server;
        this.connection = connection;
    }

    /** Counts a field of a head. Short heads aren't recorded. */
    void onField() {
        if (++fields % RECORDED_FIELDS == 0) {
            server.recordHeads(connection, (long) fields * FIELD_BYTES);
        }
    }

    /** Records that a request is in progress, and returns whether there is memory for its head. */
    boolean begin(HttpRequest request) {
        activeFields = request.headers().size();
        int length = request.uri().length()
                + request.headers().entries().stream()
                        .mapToInt(field ->
                                field.getKey().length() + field.getValue().length())
                        .sum();
        long bytes = LongHeadBudget.bytesOf(length);
        boolean taken = server.longHeads().take(bytes);
        activeBytes = taken ? bytes : 0;
        return taken;
    }

    /** Gives back the memory of the request in progress. */
    void end() {
        giveBackLongHead();
        fields -= activeFields;
        if (fields + activeFields >= RECORDED_FIELDS) {
            server.recordHeads(connection, (long) fields * FIELD_BYTES);
        }
        activeFields = 0;
    }

    private void giveBackLongHead() {
        server.longHeads().giveBack(activeBytes);
        activeBytes = 0;
    }

    /** Gives back all memory, since the connection has been closed. */
    void close() {
        giveBackLongHead();
        server.recordHeads(connection, 0);
    }
}
