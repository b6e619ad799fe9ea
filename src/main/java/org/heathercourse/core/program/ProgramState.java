package org.heathercourse.core.program;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.heathercourse.core.model.ChatMessage;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RequestId;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.model.WorkspaceId;

/**
 * The state of one program: the fold of its log records.
 *
 * <p>Immutable and safe for use by several threads; {@link #apply} returns a new state.
 *
 * @param program identity of the program
 * @param workspace workspace that it belongs to
 * @param parent program that started this one; null if there is none
 * @param budgetTokens tokens that it may spend
 * @param spentTokens tokens spent by calls that have ended
 * @param reservedTokens tokens reserved for the running or the next call
 * @param history messages of the conversation, in order
 * @param calls calls by identity, in the order of their first record
 * @param endReason why it ended; empty while it runs
 * @param cacheTargets targets that hold cache for the program
 */
public record ProgramState(
        ProgramId program,
        WorkspaceId workspace,
        ProgramId parent,
        long budgetTokens,
        long spentTokens,
        long reservedTokens,
        List<ChatMessage> history,
        Map<RequestId, CallEntry> calls,
        String endReason,
        Set<TargetId> cacheTargets) {
    /**
     * Returns the state of a program that has just begun.
     *
     * @param started the first record
     * @return the state
     */
    public static ProgramState start(LogRecord.ProgramStarted started) {
        return new ProgramState(
                started.program(),
                started.workspace(),
                started.parent(),
                started.budgetTokens(),
                0,
                started.reservedTokens(),
                List.of(),
                Map.of(),
                "",
                Set.of());
    }

    /** Returns whether the program has ended. */
    public boolean ended() {
        return !endReason.isEmpty();
    }

    /** Returns the tokens neither spent nor reserved. */
    public long availableTokens() {
        return budgetTokens - spentTokens - reservedTokens;
    }

    /**
     * Returns the state after a record of this program.
     *
     * @param record the record; {@link LogRecord.ProgramStarted} of a known program has no effect
     * @return the new state
     */
    public ProgramState apply(LogRecord record) {
        if (record instanceof LogRecord.BudgetReserved r) {
            return withBudget(spentTokens, r.reservedTokens());
        }
        if (record instanceof LogRecord.IntentRecorded r) {
            return withCall(
                    new CallEntry(
                            r.request(),
                            r.bodyDigest(),
                            CallState.INTENT,
                            0,
                            "",
                            new byte[0],
                            "",
                            "",
                            false,
                            r.target()));
        }
        if (record instanceof LogRecord.CallCompleted r) {
            return withHistory(r.messages())
                    .withBudget(spentTokens + r.costTokens(), r.reserveNextTokens())
                    .withCall(completed(r));
        }
        if (record instanceof LogRecord.CallFailed r) {
            return withBudget(spentTokens + r.costTokens(), reservedTokens).withCall(failed(r));
        }
        if (record instanceof LogRecord.ProgramEnded r) {
            return withEnd(r.reason());
        }
        if (record instanceof LogRecord.CacheReleaseOwed r) {
            return withCacheTarget(r.target(), true);
        }
        if (record instanceof LogRecord.CacheReleaseConfirmed r) {
            return withCacheTarget(r.target(), false);
        }
        return this;
    }

    /**
     * Returns the state as a new owner has to see it: intents without an outcome are unknown and an
     * unsettled reservation counts as spent.
     */
    public ProgramState afterTakeover() {
        Map<RequestId, CallEntry> seen = new LinkedHashMap<>(calls);
        seen.replaceAll((id, call) -> call.state() == CallState.INTENT ? unknown(call) : call);
        return new ProgramState(
                program,
                workspace,
                parent,
                budgetTokens,
                spentTokens + reservedTokens,
                0,
                history,
                seen,
                endReason,
                cacheTargets);
    }

    private static CallEntry completed(LogRecord.CallCompleted r) {
        return new CallEntry(
                r.request(),
                r.bodyDigest(),
                CallState.COMPLETED,
                r.status(),
                r.contentType(),
                r.answer(),
                "",
                "",
                false,
                r.target());
    }

    private static CallEntry failed(LogRecord.CallFailed r) {
        return new CallEntry(
                r.request(),
                r.bodyDigest(),
                CallState.FAILED,
                0,
                "",
                new byte[0],
                r.errorKind(),
                r.message(),
                r.notRun(),
                null);
    }

    private static CallEntry unknown(CallEntry call) {
        return new CallEntry(
                call.request(),
                call.bodyDigest(),
                CallState.UNKNOWN,
                0,
                "",
                new byte[0],
                "outcome_unknown",
                "the daemon that dispatched this call failed before it recorded an outcome",
                false,
                call.target());
    }

    private ProgramState withBudget(long spent, long reserved) {
        return new ProgramState(
                program,
                workspace,
                parent,
                budgetTokens,
                spent,
                reserved,
                history,
                calls,
                endReason,
                cacheTargets);
    }

    private ProgramState withHistory(List<ChatMessage> added) {
        if (added.isEmpty()) {
            return this;
        }
        List<ChatMessage> longer = new ArrayList<>(history.size() + added.size());
        longer.addAll(history);
        longer.addAll(added);
        return new ProgramState(
                program,
                workspace,
                parent,
                budgetTokens,
                spentTokens,
                reservedTokens,
                List.copyOf(longer),
                calls,
                endReason,
                cacheTargets);
    }

    private ProgramState withCall(CallEntry call) {
        Map<RequestId, CallEntry> more = new LinkedHashMap<>(calls);
        more.put(call.request(), call);
        return new ProgramState(
                program,
                workspace,
                parent,
                budgetTokens,
                spentTokens,
                reservedTokens,
                history,
                more,
                endReason,
                cacheTargets);
    }

    private ProgramState withEnd(String reason) {
        return new ProgramState(
                program,
                workspace,
                parent,
                budgetTokens,
                spentTokens,
                0,
                history,
                calls,
                reason,
                cacheTargets);
    }

    private ProgramState withCacheTarget(TargetId target, boolean held) {
        Set<TargetId> targets = new TreeSet<>(cacheTargets);
        if (held) {
            targets.add(target);
        } else {
            targets.remove(target);
        }
        return new ProgramState(
                program,
                workspace,
                parent,
                budgetTokens,
                spentTokens,
                reservedTokens,
                history,
                calls,
                endReason,
                targets);
    }
}
