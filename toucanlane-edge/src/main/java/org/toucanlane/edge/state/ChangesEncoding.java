package org.toucanlane.edge.state;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.toucanlane.coordination.store.StoreChanges;
import org.toucanlane.coordination.store.StoreItem;
import org.toucanlane.coordination.store.StoreRevision;

/** The form in which hosts pass changes of the store to each other. */
final class ChangesEncoding {

    /** Upper bound for the number of changes in one message. */
    private static final int MAX_CHANGES = 65_536;

    private ChangesEncoding() {}

    /** Encodes changes. */
    static byte[] encode(StoreChanges changes) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(1_024);
        try {
            CodedOutputStream out = CodedOutputStream.newInstance(bytes);
            out.writeSInt64NoTag(changes.revision().era());
            out.writeUInt64NoTag(changes.revision().number());
            out.writeUInt32NoTag(changes.changes().size());
            for (StoreChanges.Change change : changes.changes()) {
                write(out, change);
            }
            out.flush();
        } catch (IOException e) {
            throw new IllegalStateException("writing to a byte array failed", e);
        }
        return bytes.toByteArray();
    }

    private static void write(CodedOutputStream out, StoreChanges.Change change) throws IOException {
        out.writeStringNoTag(change.key());
        out.writeUInt64NoTag(change.revision());
        out.writeBoolNoTag(change.item().isPresent());
        if (change.item().isPresent()) {
            out.writeUInt64NoTag(change.item().get().lease());
            out.writeByteArrayNoTag(change.item().get().value());
        }
    }

    /**
     * Decodes changes.
     *
     * @throws IOException if the bytes are not changes in this form
     */
    static StoreChanges decode(byte[] bytes) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        StoreRevision revision = new StoreRevision(in.readSInt64(), in.readUInt64());
        int count = in.readUInt32();
        if (count < 0 || count > MAX_CHANGES) {
            throw new IOException("invalid number of changes: " + count);
        }
        List<StoreChanges.Change> changes = new ArrayList<>();
        for (int remaining = count; remaining > 0; remaining--) {
            changes.add(read(in));
        }
        if (!in.isAtEnd()) {
            throw new IOException("trailing bytes after " + count + " changes");
        }
        return new StoreChanges(changes, revision);
    }

    private static StoreChanges.Change read(CodedInputStream in) throws IOException {
        String key = in.readString();
        long revision = in.readUInt64();
        if (!in.readBool()) {
            return new StoreChanges.Change(key, revision, Optional.empty());
        }
        long lease = in.readUInt64();
        return new StoreChanges.Change(
                key, revision, Optional.of(new StoreItem(key, in.readByteArray(), revision, lease)));
    }
}
