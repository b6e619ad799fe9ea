package org.heathercourse.core.program;

import java.util.Collections;
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
 * The state of one program, as given by replaying its log records.
 *
 * <p>Budget: the sum of spent, reserved and granted tokens does not exceed the budget unless a call
 * costs more than was reserved for it. A record that requests more tokens than are available
 * reserves the available ones. A dispatcher must therefore read {@link #reservedTokens()} after it
 * appended a record and limit the call to that number.
 *
 * <p>Answers: the full answer of a non-idempotent call is kept as long as the program, because the
 * call must never run again and a repeated request must get the answer. Of the idempotent calls
 * only the last {@link #ANSWERS_KEPT} keep their answers. Older ones keep digest and status only,
 * because their text is in the history and they may run again.
 *
 * <p>Immutable and safe for use by several threads; {@link #apply} returns a new state.
 *
 * @param program identity of the program
 * @param workspace workspace that the program belongs to
 * @param parent program that started this one; null if there is none
 * @param budgetTokens tokens that the program may spend
 * @param spentTokens tokens spent by calls and sub-agents that have ended
 * @param reservedTokens tokens reserved for the running or the next call
 * @param history messages of the conversation, in order
 * @param calls calls by identity, in the order of their first record
 * @param endReason reason of the end of the program; empty while it runs
 * @param cacheTargets targets that hold a cache for the program
 * @param grants tokens granted to each sub-agent; 0 for one that has ended
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
        Set<TargetId> cacheTargets,
        Map<ProgramId, Long> grants) {
    /** Number of idempotent calls of a program whose full answers are kept. */
    public static final int ANSWERS_KEPT = 4;

    /**
     * Returns the initial state of a program.
     *
     * @param started first record of the program
     * @return the state
     */
    public static ProgramState start(LogRecord.ProgramStarted started) {
        ProgramState empty =
                new ProgramState(
                        started.program(),
                        started.workspace(),
                        started.parent(),
                        Math.max(0, started.budgetTokens()),
                        0,
                        0,
                        List.of(),
                        Map.of(),
                        "",
                        Set.of(),
                        Map.of());
        return empty.withBudget(0, started.reservedTokens());
    }

    /** Returns whether the program has ended. */
    public boolean ended() {
        return !endReason.isEmpty();
    }

    /** Returns the tokens that are neither spent, reserved nor granted; never negative. */
    public long availableTokens() {
        return Math.max(0, budgetTokens - spentTokens - reservedTokens - grantedTokens());
    }

    /** Returns the tokens granted to sub-agents that have not ended. */
    public long grantedTokens() {
        long sum = 0;
        for (long grant : grants.values()) {
            sum += grant;
        }
        return sum;
    }

    /**
     * Returns whether an intent may be recorded. A call may run again only if it certainly did not
     * run before.
     *
     * @param record the intent
     * @return whether the call is new or has failed without having run
     */
    public boolean acceptsIntent(LogRecord.IntentRecorded record) {
        CallEntry existing = calls.get(record.request());
        boolean retry =
                existing != null && existing.state() == CallState.FAILED && existing.notRun();
        return !ended() && (existing == null || retry);
    }

    /**
     * Returns the state after applying a record of this program.
     *
     * @param record the record; {@link LogRecord.ProgramStarted} has no effect here
     * @return the new state
     */
    public ProgramState apply(LogRecord record) {
        if (record instanceof LogRecord.BudgetReserved r) {
            return withBudget(spentTokens, r.reservedTokens());
        }
        if (record instanceof LogRecord.IntentRecorded r) {
            return acceptsIntent(r) ? withCall(CallEntry.intent(r)) : this;
        }
        if (record instanceof LogRecord.CallCompleted r) {
            return applyCompleted(r);
        }
        if (record instanceof LogRecord.CallFailed r) {
            return applyFailed(r);
        }
        if (record instanceof LogRecord.ProgramEnded r) {
            return ended() ? this : toBuilder().endReason(r.reason()).reserved(0).build();
        }
        if (record instanceof LogRecord.CacheReleaseOwed r) {
            return withCacheTarget(r.target(), true);
        }
        if (record instanceof LogRecord.CacheReleaseConfirmed r) {
            return withCacheTarget(r.target(), false);
        }
        if (record instanceof LogRecord.ChildBudgetGranted r) {
            return applyGrant(r);
        }
        if (record instanceof LogRecord.ChildBudgetReturned r) {
            return applyReturn(r);
        }
        return this;
    }

    /** Returns whether {@link #afterTakeover()} would change this state. */
    public boolean changedByTakeover() {
        return reservedTokens > 0 || hasIntent();
    }

    /**
     * Returns the state for a new owner after the previous owner failed: the outcome of open
     * intents is unknown, and reserved tokens count as spent.
     */
    public ProgramState afterTakeover() {
        return changedByTakeover()
                ? toBuilder()
                        .spent(add(spentTokens, reservedTokens))
                        .reserved(0)
                        .calls(callsWithIntentsUnknown())
                        .build()
                : this;
    }

    /** Returns whether a call has an intent without a recorded outcome. */
    public boolean hasIntent() {
        for (CallEntry call : calls.values()) {
            if (call.state() == CallState.INTENT) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the state for a new owner after the previous owner released the shard. No call was
     * running at that time, so reservations remain; the outcome of a call that ended without a
     * recorded outcome is unknown.
     */
    public ProgramState afterRelease() {
        return hasIntent() ? toBuilder().calls(callsWithIntentsUnknown()).build() : this;
    }

    private Map<RequestId, CallEntry> callsWithIntentsUnknown() {
        Map<RequestId, CallEntry> updated = new LinkedHashMap<>(calls);
        updated.replaceAll(
                (id, call) -> call.state() == CallState.INTENT ? call.asUnknown() : call);
        return updated;
    }

    private ProgramState applyCompleted(LogRecord.CallCompleted r) {
        long spent = add(spentTokens, r.costTokens());
        CallEntry existing = calls.get(r.request());
        if (isOutcomeFixed(existing)) {
            // Second answer of a hedged call: its tokens are spent, its messages are ignored.
            return withBudget(spent, reservedTokens);
        }
        boolean intended = existing != null && existing.intended();
        return withHistory(r.messages())
                .withBudget(spent, r.reserveNextTokens())
                .withCall(CallEntry.completed(r, intended))
                .withOldestAnswerDropped();
    }

    private ProgramState applyFailed(LogRecord.CallFailed r) {
        ProgramState charged = withBudget(add(spentTokens, r.costTokens()), reservedTokens);
        CallEntry existing = calls.get(r.request());
        if (isOutcomeFixed(existing)) {
            return charged;
        }
        boolean intended = existing != null && existing.intended();
        TargetId target = existing == null ? null : existing.target();
        return charged.withCall(CallEntry.failed(r, intended, target));
    }

    /** Returns whether the recorded outcome of a call stays and later outcomes are ignored. */
    private static boolean isOutcomeFixed(CallEntry existing) {
        return existing != null
                && (existing.state() == CallState.COMPLETED
                        || existing.state() == CallState.UNKNOWN);
    }

    private ProgramState applyGrant(LogRecord.ChildBudgetGranted r) {
        if (grants.containsKey(r.child()) || r.tokens() < 0 || r.tokens() > availableTokens()) {
            return this;
        }
        return toBuilder().grant(r.child(), r.tokens()).build();
    }

    private ProgramState applyReturn(LogRecord.ChildBudgetReturned r) {
        long grant = grants.getOrDefault(r.child(), 0L);
        if (grant == 0) {
            return this;
        }
        long spent = Math.min(grant, Math.max(0, r.spentTokens()));
        return toBuilder().spent(add(spentTokens, spent)).grant(r.child(), 0).build();
    }

    private ProgramState withBudget(long spent, long requestedTokens) {
        long maxReservable = Math.max(0, budgetTokens - spent - grantedTokens());
        long reserved = ended() ? 0 : Math.min(Math.max(0, requestedTokens), maxReservable);
        return toBuilder().spent(spent).reserved(reserved).build();
    }

    private ProgramState withHistory(List<ChatMessage> added) {
        return added.isEmpty()
                ? this
                : toBuilder().history(AppendList.concat(history, added)).build();
    }

    private ProgramState withCall(CallEntry call) {
        Map<RequestId, CallEntry> updated = new LinkedHashMap<>(calls);
        updated.put(call.request(), call);
        return toBuilder().calls(updated).build();
    }

    private ProgramState withOldestAnswerDropped() {
        int kept = 0;
        CallEntry oldest = null;
        for (CallEntry call : calls.values()) {
            if (!call.intended() && call.state() == CallState.COMPLETED && !call.answerDropped()) {
                oldest = oldest == null ? call : oldest;
                kept++;
            }
        }
        return kept > ANSWERS_KEPT ? withCall(oldest.withoutAnswer()) : this;
    }

    private ProgramState withCacheTarget(TargetId target, boolean held) {
        Set<TargetId> targets = new TreeSet<>(cacheTargets);
        boolean changed = held ? targets.add(target) : targets.remove(target);
        return changed ? toBuilder().cacheTargets(targets).build() : this;
    }

    /** Returns the sum of both numbers of tokens, limited to {@link Long#MAX_VALUE} on overflow. */
    private static long add(long spent, long cost) {
        long sum = spent + Math.max(0, cost);
        return sum < 0 ? Long.MAX_VALUE : sum;
    }

    private Builder toBuilder() {
        return new Builder(this);
    }

    /**
     * Builds a state with changed components. Collections passed in must not be modified
     * afterwards.
     */
    private static final class Builder {
        private final ProgramState mSource;
        private long mSpent;
        private long mReserved;
        private List<ChatMessage> mHistory;
        private Map<RequestId, CallEntry> mCalls;
        private String mEndReason;
        private Set<TargetId> mCacheTargets;
        private Map<ProgramId, Long> mGrants;

        Builder(ProgramState source) {
            mSource = source;
            mSpent = source.spentTokens;
            mReserved = source.reservedTokens;
            mHistory = source.history;
            mCalls = source.calls;
            mEndReason = source.endReason;
            mCacheTargets = source.cacheTargets;
            mGrants = source.grants;
        }

        Builder spent(long spent) {
            mSpent = spent;
            return this;
        }

        Builder reserved(long reserved) {
            mReserved = reserved;
            return this;
        }

        Builder history(List<ChatMessage> history) {
            mHistory = history;
            return this;
        }

        Builder calls(Map<RequestId, CallEntry> calls) {
            mCalls = Collections.unmodifiableMap(calls);
            return this;
        }

        Builder endReason(String reason) {
            mEndReason = reason;
            return this;
        }

        Builder cacheTargets(Set<TargetId> targets) {
            mCacheTargets = Collections.unmodifiableSet(targets);
            return this;
        }

        Builder grant(ProgramId child, long tokens) {
            Map<ProgramId, Long> grants = new LinkedHashMap<>(mGrants);
            grants.put(child, tokens);
            mGrants = Collections.unmodifiableMap(grants);
            return this;
        }

        ProgramState build() {
            return new ProgramState(
                    mSource.program,
                    mSource.workspace,
                    mSource.parent,
                    mSource.budgetTokens,
                    mSpent,
                    mReserved,
                    mHistory,
                    mCalls,
                    mEndReason,
                    mCacheTargets,
                    mGrants);
        }
    }
}
