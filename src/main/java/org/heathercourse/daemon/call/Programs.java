package org.heathercourse.daemon.call;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.heathercourse.core.config.WorkspaceSpec;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RequestId;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.core.program.LogRecord;

/** Derives identities, start records and default budgets of programs. */
public final class Programs {
    /** Workspace of calls without a key on routes open to all. */
    static final WorkspaceId OPEN_WORKSPACE = new WorkspaceId("open:anonymous");

    private static final String ONE_CALL_PREFIX = "one.";
    private static final long DEFAULT_BUDGET_TOKENS = 1_000_000;

    private Programs() {}

    /**
     * Returns the identity of the program of a call that has a request identity but no program. It
     * depends only on workspace and request identity, so that a repeat at any daemon finds the
     * call.
     *
     * @param workspace workspace of the call; null on routes open to all
     * @param request identity of the call
     * @return identity of the program
     */
    public static ProgramId oneCallProgramId(WorkspaceId workspace, RequestId request) {
        return new ProgramId(ONE_CALL_PREFIX + hash(workspaceOrOpen(workspace) + "\n" + request));
    }

    /** Returns the request identity under which a parent records the budget of a sub-agent. */
    static RequestId childBudgetRequestId(ProgramId child) {
        return new RequestId("sub." + hash(child.value()));
    }

    private static String hash(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            byte[] hash = digest.digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash, 0, 16);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    /** Returns the workspace, or {@link #OPEN_WORKSPACE} if it is null. */
    static WorkspaceId workspaceOrOpen(WorkspaceId workspace) {
        return workspace == null ? OPEN_WORKSPACE : workspace;
    }

    /** Returns the start record of a program that is started by a call. */
    static LogRecord.ProgramStarted startRecord(
            CallDependencies dependencies, CallRequest request, long reservedTokens) {
        WorkspaceId workspace = workspaceOrOpen(request.workspace());
        return new LogRecord.ProgramStarted(
                request.program(),
                workspace,
                null,
                defaultBudgetTokens(dependencies, workspace),
                reservedTokens);
    }

    /** Returns the budget of a program that is started without an explicit budget, in tokens. */
    static long defaultBudgetTokens(CallDependencies dependencies, WorkspaceId workspace) {
        long declaredTokens =
                dependencies
                        .config()
                        .current()
                        .workspace(workspace)
                        .map(WorkspaceSpec::programBudgetTokens)
                        .orElse(0L);
        return declaredTokens > 0 ? declaredTokens : DEFAULT_BUDGET_TOKENS;
    }
}
