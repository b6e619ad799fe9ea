package org.heathercourse.daemon.call;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import javax.inject.Inject;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RequestId;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.core.program.CallEntry;
import org.heathercourse.core.program.LogRecord;
import org.heathercourse.core.program.ProgramState;
import org.heathercourse.daemon.peer.PeerMessage.ProgramOp;
import org.heathercourse.daemon.peer.PeerMessage.ProgramOpReply;
import org.heathercourse.daemon.state.ShardDirectory;

/**
 * Runs operations on programs at their owner. All operations are idempotent. Safe for use by
 * several threads.
 */
public final class ProgramOps {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final CallExecutor mExecutor;
    private final CallDependencies mDependencies;
    private final ProgramRecorder mProgramRecorder;

    /** Creates the operations for the programs of an executor. */
    @Inject
    public ProgramOps(CallExecutor executor) {
        mExecutor = executor;
        mDependencies = executor.dependencies();
        mProgramRecorder = executor.recorder();
    }

    /** Handles a forwarded operation on a worker thread. */
    CompletionStage<ProgramOpReply> handle(ProgramOp op) {
        return CompletableFuture.supplyAsync(
                () -> new ProgramOpReply(run(op)), mExecutor.workers());
    }

    /**
     * Runs an operation.
     *
     * @param op the operation
     * @return its result as JSON
     * @throws HeathercourseException if it is malformed or refused, or if the shard is not owned
     */
    String run(ProgramOp op) {
        JsonNode arguments = parseArguments(op);
        WorkspaceId workspace = op.workspace().isEmpty() ? null : new WorkspaceId(op.workspace());
        if (op.op().equals("list")) {
            return listPrograms(workspace);
        }
        ProgramId program = new ProgramId(op.program());
        ShardId shard = ShardId.of(program, mDependencies.config().current().shards());
        ShardDirectory.Use use = mDependencies.acquireShard(shard);
        try {
            return switch (op.op()) {
                case "start" -> start(program, workspace, arguments);
                case "carve" -> grantChildBudget(requireProgram(program, workspace), arguments);
                case "show" -> toJson(requireProgram(program, workspace));
                case "end" -> end(requireProgram(program, workspace), arguments);
                case "result" -> callResult(requireProgram(program, workspace), arguments);
                default ->
                        throw new HeathercourseException(
                                ErrorKind.BAD_REQUEST,
                                "operation \"" + op.op() + "\" is not known",
                                "run daemons of the same or adjacent versions");
            };
        } finally {
            use.close();
        }
    }

    private static JsonNode parseArguments(ProgramOp op) {
        try {
            return MAPPER.readTree(op.json().isEmpty() ? "{}" : op.json());
        } catch (JsonProcessingException e) {
            throw new HeathercourseException(
                    ErrorKind.BAD_REQUEST,
                    "the arguments of the operation are not JSON",
                    "send a JSON object");
        }
    }

    private ProgramState requireProgram(ProgramId program, WorkspaceId workspace) {
        return mProgramRecorder
                .find(program)
                .filter(s -> workspace == null || s.workspace().equals(workspace))
                .orElseThrow(() -> CallErrors.unknownProgram(program));
    }

    private String start(ProgramId program, WorkspaceId workspace, JsonNode arguments) {
        mProgramRecorder.checkStoreBacklog(program);
        CompletableFuture<Void> durable;
        synchronized (mProgramRecorder.lockFor(program)) {
            ProgramState state = mProgramRecorder.find(program).orElse(null);
            if (state != null) {
                if (!state.workspace().equals(workspace)) {
                    throw new HeathercourseException(
                            ErrorKind.CONFLICT,
                            "program identity " + program + " is not available",
                            "choose another identity");
                }
                return toJson(state);
            }
            String parent = arguments.path("parent").asText("");
            long declaredTokens = Programs.defaultBudgetTokens(mDependencies, workspace);
            long budgetTokens = arguments.path("budget_tokens").asLong(declaredTokens);
            durable =
                    mProgramRecorder.append(
                            program,
                            List.of(
                                    new LogRecord.ProgramStarted(
                                            program,
                                            workspace,
                                            parent.isEmpty() ? null : new ProgramId(parent),
                                            Math.min(budgetTokens, declaredTokens),
                                            0)));
        }
        mProgramRecorder.awaitReservation(program, durable);
        mExecutor.maintenance().onUsed(program);
        return toJson(requireProgram(program, workspace));
    }

    /** Charges the budget of a sub-agent to its parent, once for each sub-agent. */
    private String grantChildBudget(ProgramState found, JsonNode arguments) {
        ProgramId parent = found.program();
        ProgramId child = new ProgramId(arguments.path("child").asText());
        RequestId requestId = Programs.childBudgetRequestId(child);
        CompletableFuture<Void> durable;
        String answer;
        synchronized (mProgramRecorder.lockFor(parent)) {
            ProgramState state = mProgramRecorder.find(parent).orElse(found);
            CallEntry entry = state.calls().get(requestId);
            if (entry != null) {
                return new String(entry.answer(), StandardCharsets.UTF_8);
            }
            if (state.ended()) {
                throw CallErrors.programEnded(parent, state.endReason());
            }
            long remainingTokens = state.budgetTokens() - state.spentTokens();
            // Tokens reserved for a running call cannot be granted to a sub-agent.
            long availableTokens =
                    mExecutor.hasActiveCall(parent)
                            ? remainingTokens - state.reservedTokens()
                            : remainingTokens;
            long grantedTokens = arguments.path("budget_tokens").asLong(availableTokens / 2);
            if (grantedTokens < 1 || grantedTokens > availableTokens) {
                throw CallErrors.budgetExceeded(grantedTokens, availableTokens);
            }
            answer = MAPPER.createObjectNode().put("budget_tokens", grantedTokens).toString();
            long reservedTokens = Math.min(state.reservedTokens(), remainingTokens - grantedTokens);
            durable =
                    mProgramRecorder.append(
                            parent,
                            List.of(childBudgetRecord(state, child, answer, reservedTokens)));
        }
        mProgramRecorder.awaitReservation(parent, durable);
        return answer;
    }

    private static LogRecord childBudgetRecord(
            ProgramState parent, ProgramId child, String answer, long reservedTokens) {
        long tokens;
        try {
            tokens = MAPPER.readTree(answer).path("budget_tokens").asLong();
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a grant of this daemon is not JSON", e);
        }
        return new LogRecord.CallCompleted(
                parent.program(),
                Programs.childBudgetRequestId(child),
                "carve",
                201,
                "application/json",
                answer.getBytes(StandardCharsets.UTF_8),
                List.of(),
                tokens,
                reservedTokens,
                null);
    }

    private String end(ProgramState found, JsonNode arguments) {
        ProgramId program = found.program();
        String reason = arguments.path("reason").asText("cancelled");
        CompletableFuture<Void> durable = CompletableFuture.completedFuture(null);
        synchronized (mProgramRecorder.lockFor(program)) {
            ProgramState state = mProgramRecorder.find(program).orElse(found);
            if (!state.ended()) {
                durable =
                        mProgramRecorder.append(
                                program, List.of(new LogRecord.ProgramEnded(program, reason)));
            }
        }
        mProgramRecorder.awaitDeliverable(program, durable);
        mExecutor.maintenance().onUsed(program);
        return toJson(mProgramRecorder.find(program).orElse(found));
    }

    private static String toJson(ProgramState state) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("program", state.program().value());
        node.put("workspace", state.workspace().value());
        if (state.parent() != null) {
            node.put("parent", state.parent().value());
        }
        node.put("state", state.ended() ? "ended" : "running");
        node.put("end_reason", state.endReason());
        node.put("budget_tokens", state.budgetTokens());
        node.put("spent_tokens", state.spentTokens());
        node.put("reserved_tokens", state.reservedTokens());
        node.put("messages", state.history().size());
        node.put("calls", state.calls().size());
        return node.toString();
    }

    private static String callResult(ProgramState state, JsonNode arguments) {
        RequestId request = new RequestId(arguments.path("request").asText());
        CallEntry entry = state.calls().get(request);
        if (entry == null) {
            throw CallErrors.unknownRequest(request);
        }
        ObjectNode node = MAPPER.createObjectNode();
        node.put("request", request.value());
        node.put("state", entry.state().name().toLowerCase(Locale.ROOT));
        node.put("status", entry.status());
        node.put("error_kind", entry.errorKind());
        node.put("not_run", entry.notRun());
        return node.toString();
    }

    private String listPrograms(WorkspaceId workspace) {
        ArrayNode programs = MAPPER.createArrayNode();
        for (ProgramState state : mDependencies.log().activePrograms()) {
            if (workspace == null || state.workspace().equals(workspace)) {
                programs.add(state.program().value());
            }
        }
        return MAPPER.createObjectNode().set("programs", programs).toString();
    }
}
