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

/** Identities and first records of programs. */
public final class Programs {
    /** Workspace of calls that came without a key, on routes open to all. */
    static final WorkspaceId OPEN = new WorkspaceId("open:anonymous");

    private static final String ONE_CALL_PREFIX = "one.";
    private static final long DEFAULT_BUDGET_TOKENS = 1_000_000;

    private Programs() {}

    /**
     * Returns the program of a call that names a request identity but no program. It depends only
     * on workspace and identity, so that a repeat at any daemon finds the call.
     *
     * @param workspace workspace of the call; null on routes open to all
     * @param request identity of the call
     * @return the program
     */
    public static ProgramId oneCallProgramId(WorkspaceId workspace, RequestId request) {
        return new ProgramId(ONE_CALL_PREFIX + hash(workspaceOf(workspace) + "\n" + request));
    }

    /** Returns the identity under which a parent records the budget of a sub-agent. */
    static RequestId carveIdentity(ProgramId child) {
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

    static WorkspaceId workspaceOf(WorkspaceId workspace) {
        return workspace == null ? OPEN : workspace;
    }

    /** Returns the first record of a program that begins with a call. */
    static LogRecord.ProgramStarted started(
            CallDependencies services, CallRequest request, long reservedTokens) {
        WorkspaceId workspace = workspaceOf(request.workspace());
        return new LogRecord.ProgramStarted(
                request.program(),
                workspace,
                null,
                budgetTokens(services, workspace),
                reservedTokens);
    }

    /** Returns the budget of a program of a workspace that asks for no other. */
    static long budgetTokens(CallDependencies services, WorkspaceId workspace) {
        long declared =
                services.config()
                        .current()
                        .workspace(workspace)
                        .map(WorkspaceSpec::programBudgetTokens)
                        .orElse(0L);
        return declared > 0 ? declared : DEFAULT_BUDGET_TOKENS;
    }
}
