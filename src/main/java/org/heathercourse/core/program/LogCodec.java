package org.heathercourse.core.program;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ChatMessage;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RequestId;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.model.WorkspaceId;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes the log of a shard as frames of MessagePack.
 *
 * <p>A log segment is a sequence of frames; segments and snapshots can be joined by joining their
 * bytes. A frame is one byte for its kind, four bytes for the length and the content. Stateless and
 * safe for use by several threads.
 */
public final class LogCodec {
    private static final byte RECORDS = 1;
    private static final byte TAKEOVER = 2;
    private static final byte RELEASE = 3;
    private static final byte PROGRAM = 4;
    private static final int HEADER_BYTES = 5;

    /** Fields of a later version are skipped, so that versions can run side by side. */
    private static final ObjectMapper MAPPER =
            new ObjectMapper(new MessagePackFactory())
                    .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private static final ObjectWriter WRITER =
            MAPPER.writerFor(new TypeReference<List<LogRecord>>() {});
    private static final ObjectReader READER =
            MAPPER.readerFor(new TypeReference<List<LogRecord>>() {});

    private LogCodec() {}

    /** Receives the decoded frames of a log in order. */
    public interface Visitor {
        /** Records of one append. */
        void records(List<LogRecord> records);

        /** The owner changed after the old one died. */
        void takeover();

        /** The owner changed after the old one released the shard. */
        void release();

        /** The whole state of one program out of a snapshot. */
        void program(ProgramState state);
    }

    /** A program in a snapshot. */
    record StoredProgram(
            ProgramId program,
            WorkspaceId workspace,
            ProgramId parent,
            long budgetTokens,
            long spentTokens,
            long reservedTokens,
            List<ChatMessage> history,
            List<CallEntry> calls,
            String endReason,
            List<TargetId> cacheTargets,
            List<StoredGrant> grants) {}

    /** A grant to a sub-agent in a snapshot. */
    record StoredGrant(ProgramId child, long tokens) {}

    /** Returns the frame of the records of one append. */
    public static byte[] encode(List<LogRecord> records) {
        try {
            return frame(RECORDS, WRITER.writeValueAsBytes(records));
        } catch (IOException e) {
            throw unreadable("records cannot be encoded", e);
        }
    }

    /** Returns the frame that says that the owner changed after the old one died. */
    public static byte[] takeoverFrame() {
        return frame(TAKEOVER, new byte[0]);
    }

    /** Returns the frame that says that the owner changed after a release. */
    public static byte[] releaseFrame() {
        return frame(RELEASE, new byte[0]);
    }

    /** Returns the frame of the whole state of a program. */
    public static byte[] encode(ProgramState state) {
        StoredProgram stored =
                new StoredProgram(
                        state.program(),
                        state.workspace(),
                        state.parent(),
                        state.budgetTokens(),
                        state.spentTokens(),
                        state.reservedTokens(),
                        state.history(),
                        List.copyOf(state.calls().values()),
                        state.endReason(),
                        List.copyOf(state.cacheTargets()),
                        state.grants().entrySet().stream()
                                .map(e -> new StoredGrant(e.getKey(), e.getValue()))
                                .toList());
        try {
            return frame(PROGRAM, MAPPER.writeValueAsBytes(stored));
        } catch (IOException e) {
            throw unreadable("program " + state.program() + " cannot be encoded", e);
        }
    }

    /**
     * Decodes frames.
     *
     * @param log frames one after the other
     * @param visitor receives them
     * @throws HeathercourseException of kind INTERNAL if the bytes are not whole frames
     */
    public static void decode(byte[] log, Visitor visitor) {
        ByteBuffer in = ByteBuffer.wrap(log);
        try {
            while (in.hasRemaining()) {
                if (in.remaining() < HEADER_BYTES) {
                    throw unreadable("frame header is cut off", null);
                }
                byte kind = in.get();
                int length = in.getInt();
                if (length < 0 || length > in.remaining()) {
                    throw unreadable("frame of " + length + " bytes is cut off", null);
                }
                decodeFrame(kind, log, in.position(), length, visitor);
                in.position(in.position() + length);
            }
        } catch (IOException e) {
            throw unreadable("frame content is damaged", e);
        }
    }

    private static void decodeFrame(byte kind, byte[] log, int at, int length, Visitor visitor)
            throws IOException {
        switch (kind) {
            case RECORDS -> visitor.records(READER.readValue(log, at, length));
            case TAKEOVER -> visitor.takeover();
            case RELEASE -> visitor.release();
            case PROGRAM ->
                    visitor.program(
                            restore(MAPPER.readValue(log, at, length, StoredProgram.class)));
            default -> throw unreadable("frame kind is " + kind + ", expected 1 to 4", null);
        }
    }

    private static ProgramState restore(StoredProgram stored) {
        Map<RequestId, CallEntry> calls = new LinkedHashMap<>();
        stored.calls().forEach(call -> calls.put(call.request(), call));
        Map<ProgramId, Long> grants = new LinkedHashMap<>();
        stored.grants().forEach(grant -> grants.put(grant.child(), grant.tokens()));
        return new ProgramState(
                stored.program(),
                stored.workspace(),
                stored.parent(),
                stored.budgetTokens(),
                stored.spentTokens(),
                stored.reservedTokens(),
                List.copyOf(stored.history()),
                calls,
                stored.endReason(),
                new TreeSet<>(stored.cacheTargets()),
                grants);
    }

    private static byte[] frame(byte kind, byte[] content) {
        return ByteBuffer.allocate(HEADER_BYTES + content.length)
                .put(kind)
                .putInt(content.length)
                .put(content)
                .array();
    }

    private static HeathercourseException unreadable(String message, Throwable cause) {
        return HeathercourseException.builder(ErrorKind.INTERNAL)
                .message("shard log: " + message)
                .remedy("check that all daemons run compatible versions")
                .cause(cause)
                .build();
    }
}
