package org.heathercourse.core.placement;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.heathercourse.core.admission.AdmissionRule;
import org.heathercourse.core.admission.ProgramStartRule;
import org.heathercourse.core.config.PolicySpec;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.model.RequestClass;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.core.ordering.AttainedService;
import org.heathercourse.core.ordering.PriorityRule;
import org.heathercourse.core.ordering.WorkspaceServiceCounters;

/**
 * Picks the target and priority of a call, or refuses the call.
 *
 * <p>Collects the candidates from the state of the {@link Scheduler} and combines the results of
 * the stateless placement, ordering and admission rules. Not thread-safe; the scheduler holds its
 * lock during each method.
 */
final class TargetPicker {
    /** Estimated answer length of workspaces without finished calls. */
    private static final double DEFAULT_OUTPUT_TOKENS = 200;

    /** Additional targets that are evaluated before a call is refused. */
    private static final int EXTRA_SAMPLE_SIZE = 4;

    private static final long NO_TARGET_RETRY_AFTER_MILLIS = 1_000;

    private final SchedulerSettings mSettings;
    private final TargetIndex mTargets;
    private final CacheDirectory mCache;
    private final AttainedService mAttained;
    private final WorkspaceServiceCounters mCounters;
    private final Map<WorkspaceId, Double> mMeanOutputTokens = new HashMap<>();
    private PolicySpec mPolicy = PolicySpec.DEFAULT;
    private LinkTable mLinks = new LinkTable(List.of());
    private int mDaemons = 1;

    TargetPicker(
            SchedulerSettings settings,
            TargetIndex targets,
            CacheDirectory cache,
            AttainedService attained,
            WorkspaceServiceCounters counters) {
        mSettings = settings;
        mTargets = targets;
        mCache = cache;
        mAttained = attained;
        mCounters = counters;
    }

    void configure(PolicySpec policy, LinkTable links, int daemons, Set<WorkspaceId> workspaces) {
        mPolicy = policy;
        mLinks = links;
        mDaemons = daemons;
        mMeanOutputTokens.keySet().retainAll(workspaces);
    }

    /** Updates the moving average of a workspace's answer lengths. */
    void recordAnswerLength(WorkspaceId workspace, long completionTokens) {
        mMeanOutputTokens.merge(
                workspace, (double) completionTokens, (old, sample) -> old + 0.05 * (sample - old));
    }

    Either<Refusal, Pick> pick(PickRequest request, long nowMillis) {
        TargetView[] eligible = mTargets.eligible(request.service(), request.model());
        List<TargetView> views = new ArrayList<>(8);
        CacheDirectory.Holders holders = mCache.holders(request.session());
        for (int i = 0; i < holders.size(); i++) {
            TargetView view = mTargets.getByIndex(holders.target(i));
            if (isUsable(view, request, nowMillis) && view.hasModel(request.model())) {
                views.add(view);
            }
        }
        int sampledSize = views.size() + mSettings.sampleSize();
        mTargets.sample(eligible, views, sampledSize, v -> isUsable(v, request, nowMillis));
        if (views.isEmpty()) {
            return noTargetRefusal(request);
        }
        Either<Refusal, Pick> firstPick = pickAmong(views, holders, request, nowMillis);
        if (firstPick.isRight()) {
            return firstPick;
        }
        List<TargetView> moreViews = new ArrayList<>(views);
        int extendedSize = views.size() + EXTRA_SAMPLE_SIZE;
        mTargets.sample(eligible, moreViews, extendedSize, v -> isUsable(v, request, nowMillis));
        moreViews.removeAll(views);
        return moreViews.isEmpty() ? firstPick : pickAmong(moreViews, holders, request, nowMillis);
    }

    private static boolean isUsable(TargetView view, PickRequest request, long nowMillis) {
        return view != null
                && view.spec().service().equals(request.service())
                && view.acceptsCalls(nowMillis)
                && !request.excluded().contains(view.spec().target());
    }

    private Either<Refusal, Pick> noTargetRefusal(PickRequest request) {
        return Either.left(
                new Refusal(
                        ErrorKind.OVERLOADED,
                        "no target of service "
                                + request.service()
                                + " takes new work, expected at least one that is up and healthy",
                        NO_TARGET_RETRY_AFTER_MILLIS));
    }

    private Either<Refusal, Pick> pickAmong(
            List<TargetView> views,
            CacheDirectory.Holders holders,
            PickRequest request,
            long nowMillis) {
        CallSize size = callSize(request);
        List<Candidate> candidates = new ArrayList<>(views.size());
        TargetView[] sources = new TargetView[views.size()];
        for (int i = 0; i < views.size(); i++) {
            candidates.add(candidate(views.get(i), holders, sources, i, nowMillis));
        }
        long minRetryAfterMillis = Long.MAX_VALUE;
        for (CandidateRanking.Ranked ranked : CandidateRanking.rank(candidates, size, mPolicy)) {
            TargetView view = views.get(ranked.index());
            Candidate candidate = candidates.get(ranked.index());
            // The run times of plain calls vary too much to refuse a call for its estimated
            // latency, so only the estimated wait is checked.
            double expectedMillis =
                    request.model().isEmpty()
                            ? ranked.estimate().waitMillis()
                            : ranked.estimate().latencyMillis();
            long retryAfterMillis =
                    AdmissionRule.retryAfterMillis(
                            request.requestClass(),
                            candidate.snapshot().inFlight(),
                            view.concurrencyLimit(),
                            view.meanCallMillis(),
                            expectedMillis,
                            request.deadlineMillis());
            if (retryAfterMillis == 0 && refusesProgramStart(request, view, nowMillis)) {
                return Either.left(programStartRefusal(request));
            }
            if (retryAfterMillis == 0) {
                return Either.right(toPick(request, ranked, candidate, view, sources, nowMillis));
            }
            minRetryAfterMillis = Math.min(minRetryAfterMillis, retryAfterMillis);
        }
        return Either.left(
                new Refusal(
                        ErrorKind.OVERLOADED,
                        "all targets of service "
                                + request.service()
                                + " that were considered are at their limit, expected free"
                                + " capacity after "
                                + minRetryAfterMillis
                                + " ms",
                        minRetryAfterMillis));
    }

    private boolean refusesProgramStart(PickRequest request, TargetView view, long nowMillis) {
        return ProgramStartRule.refuses(
                request.requestClass(),
                mAttained.serviceMillis(request.program()),
                mCounters.excessRatio(request.workspace(), nowMillis),
                view.cacheLossRatio());
    }

    private static Refusal programStartRefusal(PickRequest request) {
        return new Refusal(
                ErrorKind.OVERLOADED,
                "the prefix caches of service "
                        + request.service()
                        + " are overcommitted and workspace "
                        + request.workspace()
                        + " is above its share, expected it to start no new program until the"
                        + " caches recover",
                ProgramStartRule.RETRY_AFTER_MILLIS);
    }

    private Pick toPick(
            PickRequest request,
            CandidateRanking.Ranked ranked,
            Candidate candidate,
            TargetView view,
            TargetView[] sources,
            long nowMillis) {
        Optional<TargetId> source =
                ranked.migrate()
                        ? Optional.of(sources[ranked.index()].spec().target())
                        : Optional.empty();
        double cachedTokens =
                ranked.migrate() ? candidate.sourceTokens() : candidate.cachedTokens();
        return new Pick(
                view.spec().target(),
                priority(request, view, nowMillis),
                Math.round(ranked.estimate().latencyMillis()),
                Math.min(request.promptTokens(), Math.round(cachedTokens)),
                source);
    }

    CallSize callSize(PickRequest request) {
        double expectedTokens = request.expectedTokens();
        if (expectedTokens == 0 && !request.model().isEmpty()) {
            expectedTokens =
                    mMeanOutputTokens.getOrDefault(request.workspace(), DEFAULT_OUTPUT_TOKENS);
        }
        boolean urgent = request.requestClass() == RequestClass.URGENT;
        return new CallSize(request.promptTokens(), Math.round(expectedTokens), urgent);
    }

    private Candidate candidate(
            TargetView view,
            CacheDirectory.Holders holders,
            TargetView[] sources,
            int index,
            long nowMillis) {
        double cachedTokens = 0;
        double sourceTokens = 0;
        for (int i = 0; i < holders.size(); i++) {
            TargetView holder = mTargets.getByIndex(holders.target(i));
            double tokens =
                    holder.expectedCachedTokens(holders.tokens(i), holders.observedMillis(i));
            if (holder == view) {
                cachedTokens = tokens;
            } else if (tokens > sourceTokens && holder.canExport(nowMillis)) {
                sourceTokens = tokens;
                sources[index] = holder;
            }
        }
        LinkCost link =
                sourceTokens > 0
                        ? mLinks.between(sources[index].spec().zone(), view.spec().zone())
                        : LinkCost.LOCAL;
        return new Candidate(view.snapshot(nowMillis, mDaemons), cachedTokens, sourceTokens, link);
    }

    private int priority(PickRequest request, TargetView view, long nowMillis) {
        return PriorityRule.priority(
                request.requestClass(),
                mAttained.serviceMillis(request.program()),
                mCounters.excessMillis(request.workspace(), nowMillis),
                view.cacheLossRatio(),
                request.epochMillis(),
                mPolicy);
    }
}
