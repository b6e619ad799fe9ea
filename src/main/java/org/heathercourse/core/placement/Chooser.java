package org.heathercourse.core.placement;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.heathercourse.core.admission.AdmissionRule;
import org.heathercourse.core.admission.StartRule;
import org.heathercourse.core.config.PolicySpec;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.model.RequestClass;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.core.ordering.AttainedService;
import org.heathercourse.core.ordering.PriorityRule;
import org.heathercourse.core.ordering.WorkspaceCounters;

/**
 * Applies the rules of placement, ordering and admission to a daemon's knowledge.
 *
 * <p>Collects the candidates of a call, asks the pure rules and puts their answers together. Not
 * safe for several threads; {@link Scheduler} holds its lock.
 */
final class Chooser {
    /** Answers of workspaces without history are assumed to have this many tokens. */
    private static final double DEFAULT_OUTPUT_TOKENS = 200;

    /** Further targets that are looked at before a call is refused. */
    private static final int EXTRA_SAMPLE = 4;

    private static final long NO_TARGET_RETRY_MILLIS = 1_000;

    private final SchedulerSettings mSettings;
    private final TargetIndex mTargets;
    private final CacheDirectory mCache;
    private final AttainedService mAttained;
    private final WorkspaceCounters mCounters;
    private final Map<WorkspaceId, Double> mOutputTokens = new HashMap<>();
    private PolicySpec mPolicy = PolicySpec.DEFAULT;
    private LinkTable mLinks = new LinkTable(List.of());
    private int mDaemons = 1;

    Chooser(
            SchedulerSettings settings,
            TargetIndex targets,
            CacheDirectory cache,
            AttainedService attained,
            WorkspaceCounters counters) {
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
        mOutputTokens.keySet().retainAll(workspaces);
    }

    /** Learns the usual length of a workspace's answers. */
    void onAnswer(WorkspaceId workspace, long completionTokens) {
        mOutputTokens.merge(
                workspace, (double) completionTokens, (old, sample) -> old + 0.05 * (sample - old));
    }

    Either<Refusal, Pick> pick(PickRequest request, long nowMillis) {
        TargetView[] eligible = mTargets.eligible(request.service(), request.model());
        List<TargetView> views = new ArrayList<>(8);
        CacheDirectory.Holders holders = mCache.holders(request.session());
        for (int i = 0; i < holders.size(); i++) {
            TargetView view = mTargets.at(holders.target(i));
            if (usable(view, request, nowMillis) && view.offers(request.model())) {
                views.add(view);
            }
        }
        int wanted = views.size() + mSettings.sampleSize();
        mTargets.sample(eligible, views, wanted, v -> usable(v, request, nowMillis));
        if (views.isEmpty()) {
            return refuseWithoutTarget(request);
        }
        Either<Refusal, Pick> first = pickAmong(views, holders, request, nowMillis);
        if (first.isRight()) {
            return first;
        }
        List<TargetView> more = new ArrayList<>(views);
        int extended = views.size() + EXTRA_SAMPLE;
        mTargets.sample(eligible, more, extended, v -> usable(v, request, nowMillis));
        more.removeAll(views);
        return more.isEmpty() ? first : pickAmong(more, holders, request, nowMillis);
    }

    private static boolean usable(TargetView view, PickRequest request, long nowMillis) {
        return view != null
                && view.spec().service().equals(request.service())
                && view.takesCalls(nowMillis)
                && !request.excluded().contains(view.spec().target());
    }

    private Either<Refusal, Pick> refuseWithoutTarget(PickRequest request) {
        return Either.left(
                new Refusal(
                        ErrorKind.OVERLOADED,
                        "no target of service "
                                + request.service()
                                + " takes new work, expected at least one that is up and healthy",
                        NO_TARGET_RETRY_MILLIS));
    }

    private Either<Refusal, Pick> pickAmong(
            List<TargetView> views,
            CacheDirectory.Holders holders,
            PickRequest request,
            long nowMillis) {
        CallShape shape = shape(request);
        List<Candidate> candidates = new ArrayList<>(views.size());
        TargetView[] sources = new TargetView[views.size()];
        for (int i = 0; i < views.size(); i++) {
            candidates.add(candidate(views.get(i), holders, sources, i, nowMillis));
        }
        long retryMillis = Long.MAX_VALUE;
        for (Placement.Ranked ranked : Placement.rank(candidates, shape, mPolicy)) {
            TargetView view = views.get(ranked.index());
            Candidate candidate = candidates.get(ranked.index());
            // The time of a plain call varies too much to refuse it for more than its wait.
            double expected =
                    request.model().isEmpty()
                            ? ranked.estimate().waitMillis()
                            : ranked.estimate().latencyMillis();
            long retryAfter =
                    AdmissionRule.retryAfterMillis(
                            request.requestClass(),
                            candidate.snapshot().inFlight(),
                            view.limit(),
                            view.callMillis(),
                            expected,
                            request.deadlineMillis());
            if (retryAfter == 0 && startsBeyondShare(request, view, nowMillis)) {
                return Either.left(refuseBeyondShare(request));
            }
            if (retryAfter == 0) {
                return Either.right(toPick(request, ranked, candidate, view, sources, nowMillis));
            }
            retryMillis = Math.min(retryMillis, retryAfter);
        }
        return Either.left(
                new Refusal(
                        ErrorKind.OVERLOADED,
                        "all targets of service "
                                + request.service()
                                + " that were considered are at their limit, expected room after "
                                + retryMillis
                                + " ms",
                        retryMillis));
    }

    private boolean startsBeyondShare(PickRequest request, TargetView view, long nowMillis) {
        return StartRule.refuses(
                request.requestClass(),
                mAttained.of(request.program()),
                mCounters.excessRatio(request.workspace(), nowMillis),
                view.cacheLossRatio());
    }

    private static Refusal refuseBeyondShare(PickRequest request) {
        return new Refusal(
                ErrorKind.OVERLOADED,
                "caches of service "
                        + request.service()
                        + " are short and workspace "
                        + request.workspace()
                        + " is above its share, expected it to start no new program now",
                StartRule.RETRY_MILLIS);
    }

    private Pick toPick(
            PickRequest request,
            Placement.Ranked ranked,
            Candidate candidate,
            TargetView view,
            TargetView[] sources,
            long nowMillis) {
        Optional<TargetId> source =
                ranked.migrate()
                        ? Optional.of(sources[ranked.index()].spec().target())
                        : Optional.empty();
        double cached = ranked.migrate() ? candidate.sourceTokens() : candidate.cachedTokens();
        return new Pick(
                view.spec().target(),
                priority(request, view, nowMillis),
                Math.round(ranked.estimate().latencyMillis()),
                Math.min(request.promptTokens(), Math.round(cached)),
                source);
    }

    CallShape shape(PickRequest request) {
        double expected = request.expectedTokens();
        if (expected == 0 && !request.model().isEmpty()) {
            expected = mOutputTokens.getOrDefault(request.workspace(), DEFAULT_OUTPUT_TOKENS);
        }
        boolean urgent = request.requestClass() == RequestClass.URGENT;
        return new CallShape(request.promptTokens(), Math.round(expected), urgent);
    }

    private Candidate candidate(
            TargetView view,
            CacheDirectory.Holders holders,
            TargetView[] sources,
            int index,
            long nowMillis) {
        double cached = 0;
        double best = 0;
        for (int i = 0; i < holders.size(); i++) {
            TargetView holder = mTargets.at(holders.target(i));
            double tokens = holder.expectedCached(holders.tokens(i), holders.seenMillis(i));
            if (holder == view) {
                cached = tokens;
            } else if (tokens > best && holder.canExport(nowMillis)) {
                best = tokens;
                sources[index] = holder;
            }
        }
        LinkCost link =
                best > 0
                        ? mLinks.between(sources[index].spec().zone(), view.spec().zone())
                        : LinkCost.LOCAL;
        return new Candidate(view.snapshot(nowMillis, mDaemons), cached, best, link);
    }

    private int priority(PickRequest request, TargetView view, long nowMillis) {
        return PriorityRule.priority(
                request.requestClass(),
                mAttained.of(request.program()),
                mCounters.lead(request.workspace(), nowMillis),
                view.cacheLossRatio(),
                request.epochMillis(),
                mPolicy);
    }
}
