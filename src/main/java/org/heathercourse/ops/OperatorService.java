package org.heathercourse.ops;

import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.heathercourse.core.config.ConfigDiff;
import org.heathercourse.core.config.ConfigProblem;
import org.heathercourse.core.config.ConfigValidator;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.config.LifecycleState;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.config.ConfigChanges;
import org.heathercourse.daemon.config.ConfigSource;
import org.heathercourse.daemon.config.KeyGenerator;
import org.heathercourse.daemon.state.StateSettings;
import org.heathercourse.log.EventLog;
import org.heathercourse.ops.v1.AddKeyRequest;
import org.heathercourse.ops.v1.AddKeyResponse;
import org.heathercourse.ops.v1.ApplyRequest;
import org.heathercourse.ops.v1.ApplyResponse;
import org.heathercourse.ops.v1.CancelProgramRequest;
import org.heathercourse.ops.v1.CancelProgramResponse;
import org.heathercourse.ops.v1.ExplainRequest;
import org.heathercourse.ops.v1.ExplainResponse;
import org.heathercourse.ops.v1.GetBurnRequest;
import org.heathercourse.ops.v1.GetBurnResponse;
import org.heathercourse.ops.v1.GetConfigurationRequest;
import org.heathercourse.ops.v1.GetConfigurationResponse;
import org.heathercourse.ops.v1.GetStatusRequest;
import org.heathercourse.ops.v1.GetStatusResponse;
import org.heathercourse.ops.v1.ListProgramsRequest;
import org.heathercourse.ops.v1.ListProgramsResponse;
import org.heathercourse.ops.v1.ListRevisionsRequest;
import org.heathercourse.ops.v1.ListRevisionsResponse;
import org.heathercourse.ops.v1.OperatorGrpc;
import org.heathercourse.ops.v1.PlanRequest;
import org.heathercourse.ops.v1.PlanResponse;
import org.heathercourse.ops.v1.Problem;
import org.heathercourse.ops.v1.SetStateRequest;
import org.heathercourse.ops.v1.UndoRequest;
import org.heathercourse.ops.v1.WatchRequest;
import org.heathercourse.ops.v1.WatchResponse;
import org.heathercourse.ops.v1.WithdrawKeyRequest;

/**
 * Serves the operator schema.
 *
 * <p>Safe for use by several threads. Calls run on the threads of the gRPC server and may block on
 * the store.
 */
public final class OperatorService extends OperatorGrpc.OperatorImplBase {
    private static final EventLog LOG = EventLog.of(OperatorService.class);
    private static final int DEFAULT_REVISIONS = 20;
    private static final int DEFAULT_PROGRAMS = 100;
    private static final int DEFAULT_DECISIONS = 50;
    private static final long DEFAULT_WATCH_MILLIS = 30_000;
    private static final long WATCH_PERIOD_MILLIS = 200;
    // A read-modify-write by the daemon itself repeats a lost race this often before it gives up.
    private static final int MAX_RACES = 8;

    private final ConfigSource mConfig;
    private final ConfigChanges mChanges;
    private final RevisionProbe mProbe;
    private final Observations mObservations;
    private final KeyGenerator mKeyGenerator;
    private final Ticker mTicker;
    private final ScheduledExecutorService mScheduler;

    /**
     * Creates the service.
     *
     * @param config the configuration in force here
     * @param changes accepts changes
     * @param probe asks other daemons for their revision
     * @param observations what this daemon observes
     * @param keyGenerator makes keys
     * @param ticker measures how long a watch lasts
     * @param scheduler runs watches
     */
    public OperatorService(
            ConfigSource config,
            ConfigChanges changes,
            RevisionProbe probe,
            Observations observations,
            KeyGenerator keyGenerator,
            Ticker ticker,
            ScheduledExecutorService scheduler) {
        mConfig = config;
        mChanges = changes;
        mProbe = probe;
        mObservations = observations;
        mKeyGenerator = keyGenerator;
        mTicker = ticker;
        mScheduler = scheduler;
    }

    // ---- plan, apply, undo ----

    @Override
    public void plan(PlanRequest request, StreamObserver<PlanResponse> out) {
        answer(
                out,
                () -> {
                    DeploymentConfig base = present();
                    DeploymentConfig proposed =
                            ConfigMapper.toCore(request.getConfiguration(), base);
                    PlanResponse.Builder response =
                            PlanResponse.newBuilder()
                                    .setBaseRevision(base.revision())
                                    .addAllDifferences(ConfigDiff.between(base, proposed));
                    for (ConfigProblem problem : problems(base, proposed)) {
                        response.addProblems(
                                Problem.newBuilder()
                                        .setPath(problem.path())
                                        .setMessage(
                                                "is "
                                                        + problem.met()
                                                        + ", expected "
                                                        + problem.expected())
                                        .setRemedy(problem.kind().remedy()));
                    }
                    return response.build();
                });
    }

    @Override
    public void apply(ApplyRequest request, StreamObserver<ApplyResponse> out) {
        answer(
                out,
                () ->
                        accept(
                                ConfigMapper.toCore(request.getConfiguration(), present()),
                                request.getBaseRevision(),
                                request.getChangeId()));
    }

    @Override
    public void undo(UndoRequest request, StreamObserver<ApplyResponse> out) {
        answer(
                out,
                () ->
                        accept(
                                read(request.getRevision()),
                                request.getBaseRevision(),
                                request.getChangeId()));
    }

    private ApplyResponse accept(DeploymentConfig proposed, long baseRevision, String changeId) {
        requireChangeId(changeId);
        // Before the checks, which the present configuration may no longer pass.
        Optional<ApplyResponse> repeated = repeated(changeId);
        if (repeated.isPresent()) {
            return repeated.get();
        }
        DeploymentConfig base = present();
        List<ConfigProblem> problems = problems(base, proposed);
        if (!problems.isEmpty()) {
            throw invalid(problems);
        }
        List<String> differences = ConfigDiff.between(base, proposed);
        if (differences.isEmpty() && base.revision() == baseRevision) {
            return ApplyResponse.newBuilder().setRevision(base.revision()).build();
        }
        Either<HeathercourseException, DeploymentConfig> result =
                mChanges.accept(proposed, baseRevision, changeId);
        DeploymentConfig accepted = result.getOrElseThrow(e -> e);
        LOG.info("config_accepted", "revision", accepted.revision(), "change", changeId);
        return ApplyResponse.newBuilder()
                .setRevision(accepted.revision())
                .addAllDifferences(differences)
                .build();
    }

    /** Returns what the first attempt of a change answered, or would have answered. */
    private Optional<ApplyResponse> repeated(String changeId) {
        return mChanges.resultOfCommittedChange(changeId)
                .map(result -> result.getOrElseThrow(e -> e))
                .map(
                        made ->
                                ApplyResponse.newBuilder()
                                        .setRevision(made.revision())
                                        .addAllDifferences(
                                                ConfigDiff.between(read(made.revision() - 1), made))
                                        .build())
                .toJavaOptional();
    }

    // ---- keys and states: changes that the daemon makes on the present configuration ----

    @Override
    public void addKey(AddKeyRequest request, StreamObserver<AddKeyResponse> out) {
        answer(
                out,
                () -> {
                    KeyGenerator.Generated key = mKeyGenerator.generate();
                    ApplyResponse response =
                            change(
                                    request.getChangeId(),
                                    config ->
                                            ConfigEdits.withWorkspace(
                                                    config,
                                                    request.getWorkspace(),
                                                    w -> ConfigEdits.withKey(w, key.spec())));
                    requireStored(key, request.getWorkspace(), response.getRevision());
                    return AddKeyResponse.newBuilder()
                            .setRevision(response.getRevision())
                            .setKeyId(key.spec().keyId())
                            .setKey(key.key())
                            .build();
                });
    }

    /**
     * Refuses to answer a repeat with a key that the first attempt did not store. Only the digest
     * of that key is kept, so it cannot be returned.
     */
    private void requireStored(KeyGenerator.Generated key, String workspace, long revision) {
        boolean stored =
                read(revision).workspaces().stream()
                        .flatMap(w -> w.keys().stream())
                        .anyMatch(k -> k.keyId().equals(key.spec().keyId()));
        if (!stored) {
            throw new HeathercourseException(
                    ErrorKind.CONFLICT,
                    "this change was accepted before as revision "
                            + revision
                            + " and added a key to workspace "
                            + workspace
                            + ", of which only the digest is kept: "
                            + ConfigDiff.between(read(revision - 1), read(revision)),
                    "withdraw that key if it was not received, and add another with a new"
                            + " change_id");
        }
    }

    @Override
    public void withdrawKey(WithdrawKeyRequest request, StreamObserver<ApplyResponse> out) {
        answer(
                out,
                () ->
                        change(
                                request.getChangeId(),
                                config ->
                                        ConfigEdits.withWorkspace(
                                                config,
                                                request.getWorkspace(),
                                                w ->
                                                        ConfigEdits.withoutKey(
                                                                w, request.getKeyId()))));
    }

    @Override
    public void setState(SetStateRequest request, StreamObserver<ApplyResponse> out) {
        LifecycleState state = ConfigMapper.state(request.getState());
        answer(
                out,
                () ->
                        change(
                                request.getChangeId(),
                                config ->
                                        request.hasTarget()
                                                ? ConfigEdits.withTargetState(
                                                        config, request.getTarget(), state)
                                                : ConfigEdits.withVmState(
                                                        config,
                                                        request.getVm(),
                                                        state,
                                                        mObservations.daemons())));
    }

    private ApplyResponse change(String changeId, UnaryOperator<DeploymentConfig> edit) {
        HeathercourseException last = null;
        for (int race = 0; race < MAX_RACES; race++) {
            DeploymentConfig base = present();
            try {
                return accept(edit.apply(base), base.revision(), changeId);
            } catch (HeathercourseException e) {
                if (e.kind() != ErrorKind.CONFLICT) {
                    throw e;
                }
                last = e;
            }
        }
        throw last;
    }

    // ---- reading ----

    @Override
    public void getConfiguration(
            GetConfigurationRequest request, StreamObserver<GetConfigurationResponse> out) {
        answer(
                out,
                () -> {
                    DeploymentConfig config =
                            request.getRevision() == 0 ? present() : read(request.getRevision());
                    return GetConfigurationResponse.newBuilder()
                            .setRevision(config.revision())
                            .setConfiguration(ConfigMapper.toSchema(config))
                            .build();
                });
    }

    @Override
    public void listRevisions(
            ListRevisionsRequest request, StreamObserver<ListRevisionsResponse> out) {
        int limit = request.getLimit() <= 0 ? DEFAULT_REVISIONS : request.getLimit();
        answer(
                out,
                () ->
                        ListRevisionsResponse.newBuilder()
                                .addAllRevisions(mChanges.listRevisions(limit))
                                .build());
    }

    @Override
    public void getStatus(GetStatusRequest request, StreamObserver<GetStatusResponse> out) {
        answer(out, () -> mObservations.status(mConfig));
    }

    @Override
    public void listPrograms(
            ListProgramsRequest request, StreamObserver<ListProgramsResponse> out) {
        int limit = request.getLimit() <= 0 ? DEFAULT_PROGRAMS : request.getLimit();
        answer(
                out,
                () ->
                        ListProgramsResponse.newBuilder()
                                .addAllPrograms(mObservations.programs(limit))
                                .build());
    }

    @Override
    public void getBurn(GetBurnRequest request, StreamObserver<GetBurnResponse> out) {
        answer(out, mObservations::burn);
    }

    @Override
    public void explain(ExplainRequest request, StreamObserver<ExplainResponse> out) {
        int limit = request.getLimit() <= 0 ? DEFAULT_DECISIONS : request.getLimit();
        answer(out, () -> mObservations.explain(request.getProgram(), limit));
    }

    @Override
    public void cancelProgram(
            CancelProgramRequest request, StreamObserver<CancelProgramResponse> out) {
        answer(
                out,
                () -> {
                    mObservations.cancel(request.getProgram());
                    return CancelProgramResponse.getDefaultInstance();
                });
    }

    @Override
    public void watch(WatchRequest request, StreamObserver<WatchResponse> out) {
        long revision =
                request.getRevision() == 0 ? mConfig.current().revision() : request.getRevision();
        long limit =
                request.getTimeoutMillis() <= 0 ? DEFAULT_WATCH_MILLIS : request.getTimeoutMillis();
        long end = mTicker.readMillis() + limit;
        mScheduler.execute(
                () -> watchStep((ServerCallStreamObserver<WatchResponse>) out, revision, end));
    }

    private void watchStep(
            ServerCallStreamObserver<WatchResponse> out, long revision, long endMillis) {
        if (out.isCancelled()) {
            return;
        }
        WatchResponse.Builder response = WatchResponse.newBuilder().setRevision(revision);
        Map<DaemonInfo, Optional<Long>> seen = mProbe.probe();
        seen.forEach(
                (daemon, inForce) -> {
                    if (inForce.isPresent() && inForce.get() >= revision) {
                        response.addInForce(daemon.vm().value());
                    } else {
                        response.addLacking(daemon.vm().value());
                    }
                });
        out.onNext(response.setDaemons(seen.size()).build());
        if (response.getLackingCount() == 0 || mTicker.readMillis() >= endMillis) {
            out.onCompleted();
            return;
        }
        mScheduler.schedule(
                () -> watchStep(out, revision, endMillis),
                WATCH_PERIOD_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    // ---- common parts ----

    private DeploymentConfig present() {
        return mChanges.readLatest();
    }

    private DeploymentConfig read(long revision) {
        return mChanges.readRevision(revision)
                .orElseThrow(() -> ConfigEdits.notDeclared("revision", Long.toString(revision)));
    }

    private static void requireChangeId(String changeId) {
        if (changeId.isEmpty()) {
            throw new HeathercourseException(
                    ErrorKind.BAD_REQUEST,
                    "change_id is empty, expected an identity of this change",
                    "send a new unique change_id, and the same one when the change is repeated");
        }
    }

    private static List<ConfigProblem> problems(DeploymentConfig base, DeploymentConfig proposed) {
        List<ConfigProblem> problems = new ArrayList<>(ConfigValidator.validate(base, proposed));
        // Daemons own this many shards whatever is declared; programs of others had no owner.
        if (proposed.shards() != StateSettings.DEFAULT_SHARDS && base.revision() == 0) {
            problems.add(
                    new ConfigProblem(
                            ConfigProblem.Kind.OUT_OF_RANGE,
                            "shards",
                            Integer.toString(proposed.shards()),
                            Integer.toString(StateSettings.DEFAULT_SHARDS)));
        }
        return problems;
    }

    private static HeathercourseException invalid(List<ConfigProblem> problems) {
        StringBuilder text = new StringBuilder();
        for (ConfigProblem problem : problems) {
            text.append(text.length() == 0 ? "" : "; ").append(problem);
        }
        return new HeathercourseException(
                ErrorKind.BAD_REQUEST, text.toString(), "correct the declaration and plan it");
    }

    private static <T> void answer(StreamObserver<T> out, Supplier<T> work) {
        T response;
        try {
            response = work.get();
        } catch (HeathercourseException e) {
            out.onError(status(e));
            return;
        } catch (RuntimeException e) {
            LOG.error("operator_call_failed", e);
            out.onError(Status.INTERNAL.withDescription(String.valueOf(e)).asRuntimeException());
            return;
        }
        out.onNext(response);
        out.onCompleted();
    }

    private static StatusRuntimeException status(HeathercourseException e) {
        Status status =
                switch (e.kind()) {
                    case CONFLICT -> Status.ABORTED;
                    case BAD_REQUEST -> Status.INVALID_ARGUMENT;
                    case UNKNOWN_PROGRAM -> Status.NOT_FOUND;
                    case UNAUTHENTICATED -> Status.UNAUTHENTICATED;
                    case STORE_UNAVAILABLE,
                            STALE_CONFIGURATION,
                            OWNER_UNAVAILABLE,
                            OUTCOME_UNKNOWN ->
                            Status.UNAVAILABLE;
                    default -> Status.INTERNAL;
                };
        return status.withDescription(e.getMessage() + "; " + e.remedy()).asRuntimeException();
    }
}
