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
 * Encodes and decodes the log of a shard as MessagePack frames.
 *
 * <p>A log segment is a sequence of frames; segments and snapshots are concatenated by
 * concatenating their bytes. A frame consists of one byte for its kind, four bytes for the length
 * of the content in bytes, and the content. Stateless and safe for use by several threads.
 */
public final class LogCodec {
    private static final byte RECORDS = 1;
    private static final byte TAKEOVER = 2;
    private static final byte RELEASE = 3;
    private static final byte PROGRAM = 4;
    private static final int HEADER_BYTES = 5;

    /** Unknown fields are ignored, so that daemons of different versions can run side by side. */
    private static final ObjectMapper MAPPER =
            new ObjectMapper(new MessagePackFactory())
                    .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private static final ObjectWriter WRITER =
            MAPPER.writerFor(new TypeReference<List<LogRecord>>() {});
    private static final ObjectReader READER =
            MAPPER.readerFor(new TypeReference<List<LogRecord>>() {});

    private LogCodec() {}

    /** Receives the decoded frames of a log in the order of the log. */
    public interface Visitor {
        /** Receives the records of one append. */
        void records(List<LogRecord> records);

        /** Receives the mark that the owner changed because the previous owner failed. */
        void takeover();

        /**
         * Receives the mark that the owner changed because the previous owner released the shard.
         */
        void release();

        /** Receives the state of one program in a snapshot. */
        void program(ProgramState state);
    }

    /** Stored form of a program in a snapshot. */
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

    /** Stored form of a grant to a sub-agent in a snapshot. */
    record StoredGrant(ProgramId child, long tokens) {}

    /** Returns the frame with the records of one append. */
    public static byte[] encode(List<LogRecord> records) {
        try {
            return frame(RECORDS, WRITER.writeValueAsBytes(records));
        } catch (IOException e) {
            throw codecError("records cannot be encoded", e);
        }
    }

    /** Returns the frame that marks a change of owner after the previous owner failed. */
    public static byte[] takeoverFrame() {
        return frame(TAKEOVER, new byte[0]);
    }

    /** Returns the frame that marks a change of owner after a release. */
    public static byte[] releaseFrame() {
        return frame(RELEASE, new byte[0]);
    }

    /** Returns the frame with the state of a program, for a snapshot. */
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
            throw codecError("program " + state.program() + " cannot be encoded", e);
        }
    }

    /**
     * Decodes a sequence of frames.
     *
     * @param log concatenated frames
     * @param visitor receives the decoded frames
     * @throws HeathercourseException of kind INTERNAL if a frame is truncated, of unknown kind or
     *     malformed
     */
    public static void decode(byte[] log, Visitor visitor) {
        ByteBuffer buffer = ByteBuffer.wrap(log);
        try {
            while (buffer.hasRemaining()) {
                if (buffer.remaining() < HEADER_BYTES) {
                    throw codecError("frame header is truncated, expected 5 bytes", null);
                }
                byte kind = buffer.get();
                int length = buffer.getInt();
                if (length < 0 || length > buffer.remaining()) {
                    throw codecError("frame of " + length + " bytes is truncated", null);
                }
                decodeFrame(kind, log, buffer.position(), length, visitor);
                buffer.position(buffer.position() + length);
            }
        } catch (IOException e) {
            throw codecError("frame content is not valid MessagePack of its frame kind", e);
        }
    }

    private static void decodeFrame(byte kind, byte[] log, int offset, int length, Visitor visitor)
            throws IOException {
        switch (kind) {
            case RECORDS -> visitor.records(READER.readValue(log, offset, length));
            case TAKEOVER -> visitor.takeover();
            case RELEASE -> visitor.release();
            case PROGRAM ->
                    visitor.program(
                            restore(MAPPER.readValue(log, offset, length, StoredProgram.class)));
            default -> throw codecError("frame kind is " + kind + ", expected 1 to 4", null);
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

    private static HeathercourseException codecError(String message, Throwable cause) {
        return HeathercourseException.builder(ErrorKind.INTERNAL)
                .message("shard log: " + message)
                .remedy("check that all daemons run compatible versions")
                .cause(cause)
                .build();
    }
}
