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
 * The state of one program: the fold of its log records.
 *
 * <p>Budget: spent, reserved and granted tokens together never exceed the budget unless a call
 * costs more than was reserved for it. A record that asks for more than is available reserves what
 * is available, so a dispatcher has to read {@link #reservedTokens()} after its append and limit
 * the call to it.
 *
 * <p>Answers: a non-idempotent call keeps its full answer as long as the program is kept, because
 * it must never run again and a repeat has to get the answer. Of the idempotent calls only the last
 * {@link #ANSWERS_KEPT} keep their answers; older ones keep digest and status, since their text is
 * in the history and they may run again.
 *
 * <p>Immutable and safe for use by several threads; {@link #apply} returns a new state.
 *
 * @param program identity of the program
 * @param workspace workspace that it belongs to
 * @param parent program that started this one; null if there is none
 * @param budgetTokens tokens that it may spend
 * @param spentTokens tokens spent by calls and sub-agents that have ended
 * @param reservedTokens tokens reserved for the running or the next call
 * @param history messages of the conversation, in order
 * @param calls calls by identity, in the order of their first record
 * @param endReason why it ended; empty while it runs
 * @param cacheTargets targets that hold cache for the program
 * @param grants tokens set aside for each sub-agent; 0 for one that has ended
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
    /** Idempotent calls of a program whose full answers are kept. */
    public static final int ANSWERS_KEPT = 4;

    /**
     * Returns the state of a program that has just begun.
     *
     * @param started the first record
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

    /** Returns the tokens neither spent, reserved nor granted; never negative. */
    public long availableTokens() {
        return Math.max(0, budgetTokens - spentTokens - reservedTokens - grantedTokens());
    }

    /** Returns the tokens set aside for sub-agents that have not ended. */
    public long grantedTokens() {
        long sum = 0;
        for (long grant : grants.values()) {
            sum += grant;
        }
        return sum;
    }

    /**
     * Returns whether an intent may be recorded: a call runs only once unless it certainly did not
     * run before.
     *
     * @param record the intent
     * @return whether the call is new or has failed without having run
     */
    public boolean acceptsIntent(LogRecord.IntentRecorded record) {
        CallEntry known = calls.get(record.request());
        boolean retry = known != null && known.state() == CallState.FAILED && known.notRun();
        return !ended() && (known == null || retry);
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
            return acceptsIntent(r) ? withCall(CallEntry.intent(r)) : this;
        }
        if (record instanceof LogRecord.CallCompleted r) {
            return applyCompleted(r);
        }
        if (record instanceof LogRecord.CallFailed r) {
            return applyFailed(r);
        }
        if (record instanceof LogRecord.ProgramEnded r) {
            return ended() ? this : copy().end(r.reason()).reserved(0).build();
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
     * Returns the state as a new owner has to see it after the old one died: intents without an
     * outcome are unknown and an unsettled reservation counts as spent.
     */
    public ProgramState afterTakeover() {
        return changedByTakeover()
                ? copy().spent(add(spentTokens, reservedTokens))
                        .reserved(0)
                        .calls(intentsUnknown())
                        .build()
                : this;
    }

    /** Returns whether a call has an intent without an outcome. */
    public boolean hasIntent() {
        for (CallEntry call : calls.values()) {
            if (call.state() == CallState.INTENT) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the state as a new owner has to see it after the old one released the shard. No call
     * was running then: reservations stay, and an intent whose call ended without a recorded
     * outcome is unknown.
     */
    public ProgramState afterRelease() {
        return hasIntent() ? copy().calls(intentsUnknown()).build() : this;
    }

    private Map<RequestId, CallEntry> intentsUnknown() {
        Map<RequestId, CallEntry> seen = new LinkedHashMap<>(calls);
        seen.replaceAll((id, call) -> call.state() == CallState.INTENT ? call.asUnknown() : call);
        return seen;
    }

    private ProgramState applyCompleted(LogRecord.CallCompleted r) {
        long spent = add(spentTokens, r.costTokens());
        CallEntry known = calls.get(r.request());
        if (decided(known)) {
            // A second answer of a hedged call: its tokens were spent, its messages do not count.
            return withBudget(spent, reservedTokens);
        }
        boolean intended = known != null && known.intended();
        return withHistory(r.messages())
                .withBudget(spent, r.reserveNextTokens())
                .withCall(CallEntry.completed(r, intended))
                .withOldAnswersDropped();
    }

    private ProgramState applyFailed(LogRecord.CallFailed r) {
        ProgramState charged = withBudget(add(spentTokens, r.costTokens()), reservedTokens);
        CallEntry known = calls.get(r.request());
        if (decided(known)) {
            return charged;
        }
        boolean intended = known != null && known.intended();
        TargetId target = known == null ? null : known.target();
        return charged.withCall(CallEntry.failed(r, intended, target));
    }

    private static boolean decided(CallEntry known) {
        return known != null
                && (known.state() == CallState.COMPLETED || known.state() == CallState.UNKNOWN);
    }

    private ProgramState applyGrant(LogRecord.ChildBudgetGranted r) {
        if (grants.containsKey(r.child()) || r.tokens() < 0 || r.tokens() > availableTokens()) {
            return this;
        }
        return copy().grant(r.child(), r.tokens()).build();
    }

    private ProgramState applyReturn(LogRecord.ChildBudgetReturned r) {
        long grant = grants.getOrDefault(r.child(), 0L);
        if (grant == 0) {
            return this;
        }
        long spent = Math.min(grant, Math.max(0, r.spentTokens()));
        return copy().spent(add(spentTokens, spent)).grant(r.child(), 0).build();
    }

    private ProgramState withBudget(long spent, long wanted) {
        long room = Math.max(0, budgetTokens - spent - grantedTokens());
        long reserved = ended() ? 0 : Math.min(Math.max(0, wanted), room);
        return copy().spent(spent).reserved(reserved).build();
    }

    private ProgramState withHistory(List<ChatMessage> added) {
        return added.isEmpty() ? this : copy().history(AppendList.concat(history, added)).build();
    }

    private ProgramState withCall(CallEntry call) {
        Map<RequestId, CallEntry> more = new LinkedHashMap<>(calls);
        more.put(call.request(), call);
        return copy().calls(more).build();
    }

    private ProgramState withOldAnswersDropped() {
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
        return changed ? copy().cacheTargets(targets).build() : this;
    }

    /** Adds tokens; the sum stays at the greatest number instead of overflowing. */
    private static long add(long spent, long cost) {
        long sum = spent + Math.max(0, cost);
        return sum < 0 ? Long.MAX_VALUE : sum;
    }

    private Copy copy() {
        return new Copy(this);
    }

    /** Collects changed components. Collections passed in are not modified afterwards. */
    private static final class Copy {
        private final ProgramState mFrom;
        private long mSpent;
        private long mReserved;
        private List<ChatMessage> mHistory;
        private Map<RequestId, CallEntry> mCalls;
        private String mEnd;
        private Set<TargetId> mTargets;
        private Map<ProgramId, Long> mGrants;

        Copy(ProgramState from) {
            mFrom = from;
            mSpent = from.spentTokens;
            mReserved = from.reservedTokens;
            mHistory = from.history;
            mCalls = from.calls;
            mEnd = from.endReason;
            mTargets = from.cacheTargets;
            mGrants = from.grants;
        }

        Copy spent(long spent) {
            mSpent = spent;
            return this;
        }

        Copy reserved(long reserved) {
            mReserved = reserved;
            return this;
        }

        Copy history(List<ChatMessage> history) {
            mHistory = history;
            return this;
        }

        Copy calls(Map<RequestId, CallEntry> calls) {
            mCalls = Collections.unmodifiableMap(calls);
            return this;
        }

        Copy end(String reason) {
            mEnd = reason;
            return this;
        }

        Copy cacheTargets(Set<TargetId> targets) {
            mTargets = Collections.unmodifiableSet(targets);
            return this;
        }

        Copy grant(ProgramId child, long tokens) {
            Map<ProgramId, Long> grants = new LinkedHashMap<>(mGrants);
            grants.put(child, tokens);
            mGrants = Collections.unmodifiableMap(grants);
            return this;
        }

        ProgramState build() {
            return new ProgramState(
                    mFrom.program,
                    mFrom.workspace,
                    mFrom.parent,
                    mFrom.budgetTokens,
                    mSpent,
                    mReserved,
                    mHistory,
                    mCalls,
                    mEnd,
                    mTargets,
                    mGrants);
        }
    }
}
