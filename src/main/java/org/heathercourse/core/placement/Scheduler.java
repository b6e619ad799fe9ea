package org.heathercourse.core.placement;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.config.PolicySpec;
import org.heathercourse.core.config.WorkspaceSpec;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RetrySafety;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.model.Usage;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.ordering.AttainedService;
import org.heathercourse.core.ordering.WorkspaceServiceCounters;
import org.heathercourse.core.placement.TargetView.Attempt;
import org.heathercourse.core.retry.HedgeRule;
import org.heathercourse.core.retry.RetryBudget;

/**
 * Picks targets and priorities for the calls of one daemon.
 *
 * <p>The scheduler does no I/O and reads no clock. Parameters named {@code nowMillis} are
 * timestamps of a monotonic ticker in milliseconds; all methods need the same ticker. Create one
 * instance per daemon; it needs no shutdown. Thread-safe; a method blocks only while another thread
 * makes a decision or an update in memory.
 *
 * <p>Sequence for each attempt: {@link #pick}, then {@link #onDispatched} with an attempt id that
 * is unique within the daemon, {@link #onFirstToken} at the first token, then exactly one of {@link
 * #onFinished} and {@link #onFailed}. A retry repeats the whole sequence.
 */
public final class Scheduler {
    private final Object mLock = new Object();
    private final Zone mZone;
    private final TargetIndex mTargets;
    private final CacheDirectory mCache;
    private final AttainedService mAttained;
    private final WorkspaceServiceCounters mCounters = new WorkspaceServiceCounters();
    private final TargetPicker mPicker;
    private final Map<Long, Attempt> mAttempts = new HashMap<>();
    private PolicySpec mPolicy = PolicySpec.DEFAULT;
    private RetryBudget mRetryBudget = RetryBudget.full(PolicySpec.DEFAULT.retryBudgetRatio());

    /**
     * Creates a scheduler without targets.
     *
     * @param zone zone of the daemon
     * @param settings memory and sampling limits
     * @param random random generator for sampling targets
     */
    public Scheduler(Zone zone, SchedulerSettings settings, RandomGenerator random) {
        mZone = zone;
        mTargets = new TargetIndex(random);
        mCache = new CacheDirectory(settings.maxSessions(), settings.maxHolders());
        mAttained = new AttainedService(settings.maxPrograms());
        mPicker = new TargetPicker(settings, mTargets, mCache, mAttained, mCounters);
    }

    // Configuration and telemetry

    /**
     * Applies the targets, links, workspaces and policy of a configuration.
     *
     * @param config configuration to apply
     * @param daemons number of live daemons that share the targets; values below 1 count as 1
     * @param nowMillis current time
     */
    public void onConfig(DeploymentConfig config, int daemons, long nowMillis) {
        synchronized (mLock) {
            if (config.policy().retryBudgetRatio() != mPolicy.retryBudgetRatio()) {
                mRetryBudget = RetryBudget.full(config.policy().retryBudgetRatio());
            }
            mPolicy = config.policy();
            LinkTable links = new LinkTable(config.links());
            Map<WorkspaceId, Double> weights = new HashMap<>();
            for (WorkspaceSpec workspace : config.workspaces()) {
                weights.put(workspace.workspace(), workspace.weight());
            }
            mCounters.setWeights(weights);
            mPicker.configure(config.policy(), links, Math.max(1, daemons), weights.keySet());
            mTargets.configure(config.targets(), spec -> links.between(mZone, spec.zone()));
        }
    }

    /**
     * Records a load report. Reports of unknown targets are ignored.
     *
     * @param target target that made the report
     * @param report load report
     * @param nowMillis current time
     */
    public void onLoadReport(TargetId target, LoadReport report, long nowMillis) {
        synchronized (mLock) {
            mTargets.onReport(target, report, nowMillis);
        }
    }

    /**
     * Records cache events, which may be late or incomplete. Events of unknown targets are ignored.
     *
     * @param target engine that sent the events
     * @param changes events in ascending order of their sequence numbers
     * @param nowMillis current time
     */
    public void onCacheEvents(TargetId target, List<CacheChange> changes, long nowMillis) {
        synchronized (mLock) {
            TargetView view = mTargets.get(target);
            if (view == null) {
                return;
            }
            for (CacheChange change : changes) {
                if (!view.recordSequence(change.sequence(), nowMillis)) {
                    continue;
                }
                long evictedAgeMillis =
                        mCache.recordEvent(
                                change.session(), view.index(), change.cachedTokens(), nowMillis);
                if (evictedAgeMillis >= 0) {
                    view.recordEviction(evictedAgeMillis);
                }
            }
        }
    }

    // Decisions

    /**
     * Returns whether a target is configured, up and not blocked by its circuit breaker.
     *
     * @param target target to check
     * @param nowMillis current time
     */
    public boolean acceptsCalls(TargetId target, long nowMillis) {
        synchronized (mLock) {
            TargetView view = mTargets.get(target);
            return view != null && view.acceptsCalls(nowMillis);
        }
    }

    /**
     * Picks a target and a priority.
     *
     * @param request call to place
     * @param nowMillis current time
     * @return the pick, or a refusal if no target can run the call; nothing was sent then
     */
    public Either<Refusal, Pick> pick(PickRequest request, long nowMillis) {
        synchronized (mLock) {
            return mPicker.pick(request, nowMillis);
        }
    }

    // Calls of this daemon

    /**
     * Records that an attempt is sent. Does nothing if the target is unknown.
     *
     * @param attempt id of the attempt, unique within the daemon
     * @param request call of the attempt
     * @param pick pick that the attempt follows
     * @param nowMillis current time
     */
    public void onDispatched(long attempt, PickRequest request, Pick pick, long nowMillis) {
        synchronized (mLock) {
            TargetView view = mTargets.get(pick.target());
            if (view == null) {
                return;
            }
            double reserved = reservedMillis(view, request, pick);
            Attempt sentAttempt = new Attempt(view, request, pick, reserved, nowMillis);
            mAttempts.put(attempt, sentAttempt);
            view.onDispatched(sentAttempt);
            addService(request, reserved, nowMillis);
            if (request.excluded().isEmpty()) {
                mRetryBudget = mRetryBudget.afterCall();
            }
        }
    }

    private double reservedMillis(TargetView view, PickRequest request, Pick pick) {
        if (request.model().isEmpty()) {
            return view.plainServiceMillis();
        }
        CallSize size = mPicker.callSize(request);
        return view.serviceMillis(
                Math.max(0, size.promptTokens() - pick.cachedTokens()), size.expectedTokens());
    }

    private void addService(PickRequest request, double millis, long nowMillis) {
        mAttained.add(request.program(), millis);
        mCounters.add(request.workspace(), millis, nowMillis);
    }

    /**
     * Records the first token of an attempt. Unknown attempts are ignored.
     *
     * @param attempt id of the attempt
     * @param nowMillis current time
     */
    public void onFirstToken(long attempt, long nowMillis) {
        synchronized (mLock) {
            Attempt sentAttempt = mAttempts.get(attempt);
            if (sentAttempt != null) {
                sentAttempt.view().onFirstToken(sentAttempt, nowMillis);
            }
        }
    }

    /**
     * Records the complete answer of an attempt. Unknown attempts are ignored.
     *
     * @param attempt id of the attempt
     * @param usage tokens that the call used
     * @param nowMillis current time
     */
    public void onFinished(long attempt, Usage usage, long nowMillis) {
        synchronized (mLock) {
            Attempt sentAttempt = mAttempts.remove(attempt);
            if (sentAttempt == null) {
                return;
            }
            TargetView view = sentAttempt.view();
            PickRequest request = sentAttempt.request();
            view.onEnded(sentAttempt, usage.completionTokens(), nowMillis);
            view.onSuccess();
            if (!request.model().isEmpty()) {
                double usedMillis =
                        view.serviceMillis(
                                Math.max(0, usage.promptTokens() - usage.cachedTokens()),
                                usage.completionTokens());
                addService(request, usedMillis - sentAttempt.reservedMillis(), nowMillis);
                mPicker.recordAnswerLength(request.workspace(), usage.completionTokens());
            }
            if (!request.session().isEmpty()) {
                mCache.recordCall(request.session(), view.index(), usage.totalTokens(), nowMillis);
            }
        }
    }

    /**
     * Records the failure of an attempt. Unknown attempts are ignored.
     *
     * @param attempt id of the attempt
     * @param targetAtFault whether the failure counts for the target's circuit breaker; false for
     *     calls that the caller cancelled
     * @param nowMillis current time
     */
    public void onFailed(long attempt, boolean targetAtFault, long nowMillis) {
        synchronized (mLock) {
            Attempt sentAttempt = mAttempts.remove(attempt);
            if (sentAttempt == null) {
                return;
            }
            sentAttempt.view().onEnded(sentAttempt, 0, nowMillis);
            addService(sentAttempt.request(), -sentAttempt.reservedMillis(), nowMillis);
            if (targetAtFault) {
                sentAttempt.view().onFault(nowMillis);
            }
        }
    }

    /**
     * Acquires a retry from the budget if a failed call may be retried.
     *
     * @param safety whether the call may be repeated
     * @param provenNotRun whether the failure proves that the target did not run the call
     * @return whether the retry was acquired and may be sent
     */
    public boolean tryAcquireRetry(RetrySafety safety, boolean provenNotRun) {
        synchronized (mLock) {
            if (!(safety.mayRepeat() || provenNotRun) || !mRetryBudget.allowsRetry()) {
                return false;
            }
            mRetryBudget = mRetryBudget.afterRetry();
            return true;
        }
    }

    /**
     * Acquires a hedged attempt from the retry budget if the first attempt is slow.
     *
     * @param attempt id of the first attempt
     * @param safety whether the call may be repeated
     * @param nowMillis current time
     * @return whether a hedged attempt was acquired and may be sent
     */
    public boolean tryAcquireHedge(long attempt, RetrySafety safety, long nowMillis) {
        synchronized (mLock) {
            Attempt sentAttempt = mAttempts.get(attempt);
            boolean acquired =
                    sentAttempt != null
                            && HedgeRule.allows(
                                    safety,
                                    sentAttempt.hasFirstToken(),
                                    sentAttempt.elapsedMillis(nowMillis),
                                    sentAttempt.expectedFirstTokenMillis(),
                                    mRetryBudget);
            if (acquired) {
                mRetryBudget = mRetryBudget.afterRetry();
            }
            return acquired;
        }
    }

    /**
     * Selects the action on a session's cache during a tool pause.
     *
     * @param session name of the session
     * @param expectedPauseMillis expected length of the pause in milliseconds
     * @param nowMillis current time
     * @return the action; {@link PauseCacheAction#KEEP} if no holder is known
     */
    public PauseCacheAction cacheActionOnPause(
            String session, long expectedPauseMillis, long nowMillis) {
        synchronized (mLock) {
            CacheDirectory.Holders holders = mCache.holders(session);
            TargetView holder = null;
            double maxTokens = 0;
            for (int i = 0; i < holders.size(); i++) {
                TargetView view = mTargets.getByIndex(holders.target(i));
                double heldTokens =
                        view.expectedCachedTokens(holders.tokens(i), holders.observedMillis(i));
                if (heldTokens > maxTokens) {
                    maxTokens = heldTokens;
                    holder = view;
                }
            }
            if (holder == null) {
                return PauseCacheAction.KEEP;
            }
            return PauseCacheRule.decide(
                    maxTokens,
                    expectedPauseMillis,
                    holder.cacheFillRatio(),
                    holder.residenceMillis(),
                    mTargets.sampledMinFillRatio(holder.spec().service()),
                    maxTokens * holder.promptTokenMillis(),
                    MigrationRule.copyMillis(maxTokens, LinkCost.LOCAL));
        }
    }

    /**
     * Removes the state of a program.
     *
     * @param program program that ended
     * @param sessions names of the program's sessions
     * @return targets that may hold cached prefixes of these sessions
     */
    public List<TargetId> onProgramEnded(ProgramId program, List<String> sessions) {
        synchronized (mLock) {
            mAttained.remove(program);
            Set<TargetId> holderIds = new HashSet<>();
            for (String session : sessions) {
                CacheDirectory.Holders holders = mCache.remove(session);
                for (int i = 0; i < holders.size(); i++) {
                    holderIds.add(mTargets.getByIndex(holders.target(i)).spec().target());
                }
            }
            return List.copyOf(holderIds);
        }
    }
}
