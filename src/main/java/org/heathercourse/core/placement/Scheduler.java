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
import org.heathercourse.core.ordering.WorkspaceCounters;
import org.heathercourse.core.placement.TargetView.Attempt;
import org.heathercourse.core.retry.HedgeRule;
import org.heathercourse.core.retry.RetryBudget;

/**
 * Chooses targets and priorities for the calls of one daemon.
 *
 * <p>The scheduler does no I/O and reads no clock. Times named {@code nowMillis} are readings of a
 * monotonic ticker; the same ticker has to be used for all methods. Created once per daemon and
 * used until the process ends; it needs no shutdown. Safe for use by several threads; no method
 * blocks for longer than a decision takes.
 *
 * <p>Order of use for a call: {@link #pick}, then {@link #onDispatched} with an attempt identity
 * that is unique within the daemon, {@link #onFirstToken} at the first token, then exactly one of
 * {@link #onFinished} and {@link #onFailed}. A call that is retried goes through all of it again.
 */
public final class Scheduler {
    private final Object mLock = new Object();
    private final Zone mZone;
    private final TargetIndex mTargets;
    private final CacheDirectory mCache;
    private final AttainedService mAttained;
    private final WorkspaceCounters mCounters = new WorkspaceCounters();
    private final Chooser mChooser;
    private final Map<Long, Attempt> mAttempts = new HashMap<>();
    private PolicySpec mPolicy = PolicySpec.DEFAULT;
    private RetryBudget mRetryBudget = RetryBudget.of(PolicySpec.DEFAULT.retryBudgetRatio());

    /**
     * Creates a scheduler without targets.
     *
     * @param zone zone of the daemon
     * @param settings limits
     * @param random source of random numbers for the sample of targets
     */
    public Scheduler(Zone zone, SchedulerSettings settings, RandomGenerator random) {
        mZone = zone;
        mTargets = new TargetIndex(random);
        mCache = new CacheDirectory(settings.maxSessions(), settings.maxHolders());
        mAttained = new AttainedService(settings.maxPrograms());
        mChooser = new Chooser(settings, mTargets, mCache, mAttained, mCounters);
    }

    // Knowledge from outside

    /**
     * Applies a configuration: targets, links, workspaces and policy.
     *
     * @param config the configuration in force
     * @param daemons number of live daemons that share the targets, at least 1
     * @param nowMillis present time
     */
    public void onConfig(DeploymentConfig config, int daemons, long nowMillis) {
        synchronized (mLock) {
            if (config.policy().retryBudgetRatio() != mPolicy.retryBudgetRatio()) {
                mRetryBudget = RetryBudget.of(config.policy().retryBudgetRatio());
            }
            mPolicy = config.policy();
            LinkTable links = new LinkTable(config.links());
            Map<WorkspaceId, Double> weights = new HashMap<>();
            for (WorkspaceSpec workspace : config.workspaces()) {
                weights.put(workspace.workspace(), workspace.weight());
            }
            mCounters.setWeights(weights);
            mChooser.configure(config.policy(), links, Math.max(1, daemons), weights.keySet());
            mTargets.configure(config.targets(), spec -> links.between(mZone, spec.zone()));
        }
    }

    /**
     * Takes in a load report.
     *
     * @param target the target
     * @param report its report
     * @param nowMillis present time
     */
    public void onLoadReport(TargetId target, LoadReport report, long nowMillis) {
        synchronized (mLock) {
            mTargets.onReport(target, report, nowMillis);
        }
    }

    /**
     * Takes in cache events, possibly late and with gaps.
     *
     * @param target the engine
     * @param changes events in the order of their numbers
     * @param nowMillis present time
     */
    public void onCacheEvents(TargetId target, List<CacheChange> changes, long nowMillis) {
        synchronized (mLock) {
            TargetView view = mTargets.get(target);
            if (view == null) {
                return;
            }
            for (CacheChange change : changes) {
                if (!view.onSequence(change.sequence(), nowMillis)) {
                    continue;
                }
                long age =
                        mCache.onEvent(
                                change.session(), view.index(), change.cachedTokens(), nowMillis);
                if (age >= 0) {
                    view.onEvicted(age);
                }
            }
        }
    }

    // Decisions

    /**
     * Returns whether a target is healthy enough to be given calls.
     *
     * @param target the target
     * @param nowMillis present time
     */
    public boolean acceptsCalls(TargetId target, long nowMillis) {
        synchronized (mLock) {
            TargetView view = mTargets.get(target);
            return view != null && view.takesCalls(nowMillis);
        }
    }

    /**
     * Chooses a target and a priority.
     *
     * @param request the call
     * @param nowMillis present time
     * @return the choice, or a refusal that is true: nothing was sent
     */
    public Either<Refusal, Pick> pick(PickRequest request, long nowMillis) {
        synchronized (mLock) {
            return mChooser.pick(request, nowMillis);
        }
    }

    // Own calls

    /**
     * Records that an attempt is being sent.
     *
     * @param attempt identity of the attempt, unique within the daemon
     * @param request the call
     * @param pick the choice that is carried out
     * @param nowMillis present time
     */
    public void onDispatched(long attempt, PickRequest request, Pick pick, long nowMillis) {
        synchronized (mLock) {
            TargetView view = mTargets.get(pick.target());
            if (view == null) {
                return;
            }
            double reserved = reservedMillis(view, request, pick);
            Attempt record = new Attempt(view, request, pick, reserved, nowMillis);
            mAttempts.put(attempt, record);
            view.onDispatched(record);
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
        CallShape shape = mChooser.shape(request);
        return view.serviceMillis(
                Math.max(0, shape.promptTokens() - pick.cachedTokens()), shape.expectedTokens());
    }

    private void addService(PickRequest request, double millis, long nowMillis) {
        mAttained.add(request.program(), millis);
        mCounters.add(request.workspace(), millis, nowMillis);
    }

    /**
     * Records the first token of an attempt.
     *
     * @param attempt the attempt
     * @param nowMillis present time
     */
    public void onFirstToken(long attempt, long nowMillis) {
        synchronized (mLock) {
            Attempt record = mAttempts.get(attempt);
            if (record != null) {
                record.view().onFirstToken(record, nowMillis);
            }
        }
    }

    /**
     * Records the whole answer of an attempt.
     *
     * @param attempt the attempt
     * @param usage tokens used
     * @param nowMillis present time
     */
    public void onFinished(long attempt, Usage usage, long nowMillis) {
        synchronized (mLock) {
            Attempt record = mAttempts.remove(attempt);
            if (record == null) {
                return;
            }
            TargetView view = record.view();
            PickRequest request = record.request();
            view.onEnded(record, usage.completionTokens(), nowMillis);
            view.onSuccess();
            if (!request.model().isEmpty()) {
                double used =
                        view.serviceMillis(
                                Math.max(0, usage.promptTokens() - usage.cachedTokens()),
                                usage.completionTokens());
                addService(request, used - record.reservedMillis(), nowMillis);
                mChooser.onAnswer(request.workspace(), usage.completionTokens());
            }
            if (!request.session().isEmpty()) {
                mCache.onCall(request.session(), view.index(), usage.totalTokens(), nowMillis);
            }
        }
    }

    /**
     * Records the failure of an attempt.
     *
     * @param attempt the attempt
     * @param targetAtFault whether the failure speaks against the target; false for calls that the
     *     caller cancelled
     * @param nowMillis present time
     */
    public void onFailed(long attempt, boolean targetAtFault, long nowMillis) {
        synchronized (mLock) {
            Attempt record = mAttempts.remove(attempt);
            if (record == null) {
                return;
            }
            record.view().onEnded(record, 0, nowMillis);
            addService(record.request(), -record.reservedMillis(), nowMillis);
            if (targetAtFault) {
                record.view().onFault(nowMillis);
            }
        }
    }

    /**
     * Decides whether a failed call may be tried again, and takes the retry from the budget.
     *
     * @param safety whether the call may be repeated
     * @param provenNotRun whether the failure proves that the target did not run the call
     * @return whether to try again
     */
    public boolean tryAcquireRetry(RetrySafety safety, boolean provenNotRun) {
        synchronized (mLock) {
            if (!(safety.mayRepeat() || provenNotRun) || !mRetryBudget.allows()) {
                return false;
            }
            mRetryBudget = mRetryBudget.afterRetry();
            return true;
        }
    }

    /**
     * Decides whether a second attempt is sent beside a slow first one, and takes it from the
     * budget.
     *
     * @param attempt the slow attempt
     * @param safety whether the call may be repeated
     * @param nowMillis present time
     * @return whether to send a second attempt
     */
    public boolean tryAcquireHedge(long attempt, RetrySafety safety, long nowMillis) {
        synchronized (mLock) {
            Attempt record = mAttempts.get(attempt);
            boolean allowed =
                    record != null
                            && HedgeRule.allows(
                                    safety,
                                    record.firstTokenSeen(),
                                    record.waitedMillis(nowMillis),
                                    record.expectedFirstTokenMillis(),
                                    mRetryBudget);
            if (allowed) {
                mRetryBudget = mRetryBudget.afterRetry();
            }
            return allowed;
        }
    }

    /**
     * Decides what happens to a session's cache during a tool pause.
     *
     * @param session the session
     * @param expectedPauseMillis expected length of the pause in milliseconds
     * @param nowMillis present time
     * @return what to do
     */
    public PauseCacheAction cacheActionOnPause(
            String session, long expectedPauseMillis, long nowMillis) {
        synchronized (mLock) {
            CacheDirectory.Holders holders = mCache.holders(session);
            TargetView best = null;
            double tokens = 0;
            for (int i = 0; i < holders.size(); i++) {
                TargetView view = mTargets.at(holders.target(i));
                double held = view.expectedCached(holders.tokens(i), holders.seenMillis(i));
                if (held > tokens) {
                    tokens = held;
                    best = view;
                }
            }
            if (best == null) {
                return PauseCacheAction.KEEP;
            }
            return PauseRule.decide(
                    tokens,
                    expectedPauseMillis,
                    best.cacheFill(),
                    best.residenceMillis(),
                    mTargets.sampledLeastFill(best.spec().service()),
                    tokens * best.promptTokenMillis(),
                    MigrationRule.copyMillis(tokens, LinkCost.LOCAL));
        }
    }

    /**
     * Forgets a program.
     *
     * @param program the program
     * @param sessions names of its sessions
     * @return engines that may hold cache of these sessions
     */
    public List<TargetId> onProgramEnded(ProgramId program, List<String> sessions) {
        synchronized (mLock) {
            mAttained.remove(program);
            Set<TargetId> held = new HashSet<>();
            for (String session : sessions) {
                CacheDirectory.Holders holders = mCache.remove(session);
                for (int i = 0; i < holders.size(); i++) {
                    held.add(mTargets.at(holders.target(i)).spec().target());
                }
            }
            return List.copyOf(held);
        }
    }
}
