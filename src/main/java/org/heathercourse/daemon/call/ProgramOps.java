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
 * The owner side of operations on programs. All operations can be repeated without a second effect.
 * Safe for use by several threads.
 */
public final class ProgramOps {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final CallExecutor mExecutor;
    private final CallDependencies mServices;
    private final Recorder mRecorder;

    /** Creates the operations on the programs of an executor. */
    @Inject
    public ProgramOps(CallExecutor executor) {
        mExecutor = executor;
        mServices = executor.services();
        mRecorder = executor.recorder();
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
     */
    String run(ProgramOp op) {
        JsonNode arguments = arguments(op);
        WorkspaceId workspace = op.workspace().isEmpty() ? null : new WorkspaceId(op.workspace());
        if (op.op().equals("list")) {
            return list(workspace);
        }
        ProgramId program = new ProgramId(op.program());
        ShardId shard = ShardId.of(program, mServices.config().current().shards());
        ShardDirectory.Use use = mServices.use(shard);
        try {
            return switch (op.op()) {
                case "start" -> start(program, workspace, arguments);
                case "carve" -> carve(known(program, workspace), arguments);
                case "show" -> show(known(program, workspace));
                case "end" -> end(known(program, workspace), arguments);
                case "result" -> result(known(program, workspace), arguments);
                default ->
                        throw new HeathercourseException(
                                ErrorKind.BAD_REQUEST,
                                "operation \"" + op.op() + "\" is not known",
                                "run daemons of neighbouring versions");
            };
        } finally {
            use.close();
        }
    }

    private static JsonNode arguments(ProgramOp op) {
        try {
            return MAPPER.readTree(op.json().isEmpty() ? "{}" : op.json());
        } catch (JsonProcessingException e) {
            throw new HeathercourseException(
                    ErrorKind.BAD_REQUEST, "the arguments are no JSON", "send a JSON object");
        }
    }

    private ProgramState known(ProgramId program, WorkspaceId workspace) {
        return mRecorder
                .find(program)
                .filter(s -> workspace == null || s.workspace().equals(workspace))
                .orElseThrow(() -> CallErrors.unknownProgram(program));
    }

    private String start(ProgramId program, WorkspaceId workspace, JsonNode arguments) {
        mRecorder.checkBacklog(program);
        CompletableFuture<Void> durable;
        synchronized (mRecorder.lock(program)) {
            ProgramState state = mRecorder.find(program).orElse(null);
            if (state != null) {
                if (!state.workspace().equals(workspace)) {
                    throw new HeathercourseException(
                            ErrorKind.CONFLICT,
                            "program identity " + program + " is not available",
                            "choose another identity");
                }
                return show(state);
            }
            String parent = arguments.path("parent").asText("");
            long declared = Programs.budgetTokens(mServices, workspace);
            long budget = arguments.path("budget_tokens").asLong(declared);
            durable =
                    mRecorder.append(
                            program,
                            List.of(
                                    new LogRecord.ProgramStarted(
                                            program,
                                            workspace,
                                            parent.isEmpty() ? null : new ProgramId(parent),
                                            Math.min(budget, declared),
                                            0)));
        }
        mRecorder.awaitReservation(program, durable);
        mExecutor.maintenance().used(program);
        return show(known(program, workspace));
    }

    /** Spends the budget of a sub-agent at its parent, once for each sub-agent. */
    private String carve(ProgramState seen, JsonNode arguments) {
        ProgramId parent = seen.program();
        ProgramId child = new ProgramId(arguments.path("child").asText());
        RequestId identity = Programs.carveIdentity(child);
        CompletableFuture<Void> durable;
        String answer;
        synchronized (mRecorder.lock(parent)) {
            ProgramState state = mRecorder.find(parent).orElse(seen);
            CallEntry entry = state.calls().get(identity);
            if (entry != null) {
                return new String(entry.answer(), StandardCharsets.UTF_8);
            }
            if (state.ended()) {
                throw CallErrors.programEnded(parent, state.endReason());
            }
            long left = state.budgetTokens() - state.spentTokens();
            // What is reserved for a running call cannot be given away.
            long free = mExecutor.hasActiveCall(parent) ? left - state.reservedTokens() : left;
            long wanted = arguments.path("budget_tokens").asLong(free / 2);
            if (wanted < 1 || wanted > free) {
                throw CallErrors.budgetExceeded(wanted, free);
            }
            answer = MAPPER.createObjectNode().put("budget_tokens", wanted).toString();
            long reserved = Math.min(state.reservedTokens(), left - wanted);
            durable = mRecorder.append(parent, List.of(spent(state, child, answer, reserved)));
        }
        mRecorder.awaitReservation(parent, durable);
        return answer;
    }

    private static LogRecord spent(
            ProgramState parent, ProgramId child, String answer, long reserved) {
        long tokens;
        try {
            tokens = MAPPER.readTree(answer).path("budget_tokens").asLong();
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("an own answer is no JSON", e);
        }
        return new LogRecord.CallCompleted(
                parent.program(),
                Programs.carveIdentity(child),
                "carve",
                201,
                "application/json",
                answer.getBytes(StandardCharsets.UTF_8),
                List.of(),
                tokens,
                reserved,
                null);
    }

    private String end(ProgramState seen, JsonNode arguments) {
        ProgramId program = seen.program();
        String reason = arguments.path("reason").asText("cancelled");
        CompletableFuture<Void> durable = CompletableFuture.completedFuture(null);
        synchronized (mRecorder.lock(program)) {
            ProgramState state = mRecorder.find(program).orElse(seen);
            if (!state.ended()) {
                durable =
                        mRecorder.append(
                                program, List.of(new LogRecord.ProgramEnded(program, reason)));
            }
        }
        mRecorder.awaitDelivery(program, durable);
        mExecutor.maintenance().used(program);
        return show(mRecorder.find(program).orElse(seen));
    }

    private static String show(ProgramState state) {
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

    private static String result(ProgramState state, JsonNode arguments) {
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

    private String list(WorkspaceId workspace) {
        ArrayNode programs = MAPPER.createArrayNode();
        for (ProgramState state : mServices.log().activePrograms()) {
            if (workspace == null || state.workspace().equals(workspace)) {
                programs.add(state.program().value());
            }
        }
        return MAPPER.createObjectNode().set("programs", programs).toString();
    }
}
