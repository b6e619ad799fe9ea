package org.heathercourse.core.program;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.heathercourse.core.model.ChatMessage;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RequestId;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.model.WorkspaceId;

/**
 * A record in the log of a shard. Replaying the records gives the state of the programs. Immutable.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = LogRecord.ProgramStarted.class, name = "started"),
    @JsonSubTypes.Type(value = LogRecord.BudgetReserved.class, name = "reserved"),
    @JsonSubTypes.Type(value = LogRecord.IntentRecorded.class, name = "intent"),
    @JsonSubTypes.Type(value = LogRecord.CallCompleted.class, name = "completed"),
    @JsonSubTypes.Type(value = LogRecord.CallFailed.class, name = "failed"),
    @JsonSubTypes.Type(value = LogRecord.ProgramEnded.class, name = "ended"),
    @JsonSubTypes.Type(value = LogRecord.CacheReleaseOwed.class, name = "release_owed"),
    @JsonSubTypes.Type(value = LogRecord.CacheReleaseConfirmed.class, name = "release_confirmed"),
    @JsonSubTypes.Type(value = LogRecord.ChildBudgetGranted.class, name = "child_granted"),
    @JsonSubTypes.Type(value = LogRecord.ChildBudgetReturned.class, name = "child_returned"),
})
public sealed interface LogRecord {
    /** Returns the program that the record belongs to. */
    ProgramId program();

    /**
     * A program started.
     *
     * @param program the program
     * @param workspace workspace that the program belongs to
     * @param parent program that started this one as a sub-agent, which shares its budget; null if
     *     there is none
     * @param budgetTokens tokens that the program may spend
     * @param reservedTokens tokens reserved for the first call of the program
     */
    record ProgramStarted(
            ProgramId program,
            WorkspaceId workspace,
            ProgramId parent,
            long budgetTokens,
            long reservedTokens)
            implements LogRecord {}

    /**
     * The token reservation of a program changed.
     *
     * @param program the program
     * @param reservedTokens tokens reserved from now on; replaces the previous number
     */
    record BudgetReserved(ProgramId program, long reservedTokens) implements LogRecord {}

    /**
     * A non-idempotent call is about to be dispatched.
     *
     * @param program the program
     * @param request identity of the call
     * @param bodyDigest digest of the request body
     * @param target target that the call is sent to
     * @param fence fencing number with which the call is sent
     */
    record IntentRecorded(
            ProgramId program, RequestId request, String bodyDigest, TargetId target, long fence)
            implements LogRecord {}

    /**
     * A call ended with an answer.
     *
     * @param program the program
     * @param request identity of the call
     * @param bodyDigest digest of the request body
     * @param status HTTP status of the answer
     * @param contentType media type of the answer
     * @param answer body of the answer
     * @param messages messages that the call adds to the history, in order
     * @param costTokens tokens spent
     * @param reserveNextTokens tokens reserved for the next call; replaces the previous number
     * @param target target that answered
     */
    record CallCompleted(
            ProgramId program,
            RequestId request,
            String bodyDigest,
            int status,
            String contentType,
            byte[] answer,
            List<ChatMessage> messages,
            long costTokens,
            long reserveNextTokens,
            TargetId target)
            implements LogRecord {
        /** Creates a record with a copy of the messages; null means no messages. */
        public CallCompleted {
            messages = messages == null ? List.of() : List.copyOf(messages);
        }
    }

    /**
     * A call ended without an answer.
     *
     * @param program the program
     * @param request identity of the call
     * @param bodyDigest digest of the request body
     * @param errorKind wire name of the error kind
     * @param message error message
     * @param notRun whether it is certain that no target ran the call; such a call may be retried
     * @param costTokens tokens spent despite the failure
     */
    record CallFailed(
            ProgramId program,
            RequestId request,
            String bodyDigest,
            String errorKind,
            String message,
            boolean notRun,
            long costTokens)
            implements LogRecord {}

    /**
     * A program ended. Its state is kept for {@link ShardState#RETENTION_MILLIS} so that answers
     * can be read again.
     *
     * @param program the program
     * @param reason reason of the end: completed, cancelled, idle or budget
     */
    record ProgramEnded(ProgramId program, String reason) implements LogRecord {}

    /**
     * A target holds a cache for the program, which must be released when the program ends.
     *
     * @param program the program
     * @param target the target
     */
    record CacheReleaseOwed(ProgramId program, TargetId target) implements LogRecord {}

    /**
     * A target confirmed that it no longer holds a cache for the program.
     *
     * @param program the program
     * @param target the target
     */
    record CacheReleaseConfirmed(ProgramId program, TargetId target) implements LogRecord {}

    /**
     * Part of the program's budget was granted to a sub-agent. The sub-agent's own {@link
     * ProgramStarted} must not be written before this record is durable; otherwise both could spend
     * the same tokens after a crash in between.
     *
     * @param program the program
     * @param child the sub-agent; a second grant to the same one has no effect
     * @param tokens tokens that the sub-agent may spend; a grant of more than the available tokens
     *     has no effect
     */
    record ChildBudgetGranted(ProgramId program, ProgramId child, long tokens)
            implements LogRecord {}

    /**
     * A sub-agent ended; the part of its grant that it did not spend returns to the program.
     *
     * @param program the program
     * @param child the sub-agent
     * @param spentTokens tokens of the grant that the sub-agent spent
     */
    record ChildBudgetReturned(ProgramId program, ProgramId child, long spentTokens)
            implements LogRecord {}
}
