package org.toucanlane.edge.gossip;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/** What the datagrams between hosts have in common. */
final class ReportEncoding {

    /** Upper bound for a decoded entry count; more entries than fit into the largest datagram. */
    private static final int MAX_ENTRIES = 65_536;

    private ReportEncoding() {}

    /** Returns the bytes that {@code writer} writes. */
    static byte[] encode(Writer writer) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(1_024);
        try {
            CodedOutputStream out = CodedOutputStream.newInstance(bytes);
            writer.write(out);
            out.flush();
        } catch (IOException e) {
            throw new IllegalStateException("writing to a byte array failed", e);
        }
        return bytes.toByteArray();
    }

    /** Reads and validates an entry count. */
    static int readCount(CodedInputStream in) throws IOException {
        int count = in.readUInt32();
        if (count < 0 || count > MAX_ENTRIES) {
            throw new IOException("invalid entry count: " + count);
        }
        return count;
    }

    /** Checks that nothing follows a report. */
    static void checkEnd(CodedInputStream in) throws IOException {
        if (!in.isAtEnd()) {
            throw new IOException("trailing bytes after the end of a report");
        }
    }

    /** Writes to the encoder, which may throw. */
    interface Writer {
        void write(CodedOutputStream out) throws IOException;
    }
}
