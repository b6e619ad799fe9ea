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
 * Implements the operator service of a daemon.
 *
 * <p>Safe for use by several threads. Calls run on the threads of the gRPC server and may block on
 * the store.
 */
public final class OperatorService extends OperatorGrpc.OperatorImplBase {
    private static final EventLog LOG = EventLog.of(OperatorService.class);
    private static final int DEFAULT_REVISION_LIMIT = 20;
    private static final int DEFAULT_PROGRAM_LIMIT = 100;
    private static final int DEFAULT_DECISION_LIMIT = 50;
    private static final long DEFAULT_WATCH_TIMEOUT_MILLIS = 30_000;
    private static final long WATCH_PERIOD_MILLIS = 200;
    // Attempts of a read-modify-write by the daemon before it reports a conflicting change.
    private static final int MAX_CHANGE_ATTEMPTS = 8;

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
     * @param config source of the configuration in force at this daemon
     * @param changes stores changes of the configuration and brings them into force
     * @param probe queries all daemons for the revision that they have in force
     * @param observations runtime state of this daemon
     * @param keyGenerator generates keys
     * @param ticker time source for the timeout of watches
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
        respond(
                out,
                () -> {
                    DeploymentConfig base = acceptedConfig();
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
        respond(
                out,
                () ->
                        accept(
                                ConfigMapper.toCore(request.getConfiguration(), acceptedConfig()),
                                request.getBaseRevision(),
                                request.getChangeId()));
    }

    @Override
    public void undo(UndoRequest request, StreamObserver<ApplyResponse> out) {
        respond(
                out,
                () ->
                        accept(
                                read(request.getRevision()),
                                request.getBaseRevision(),
                                request.getChangeId()));
    }

    private ApplyResponse accept(DeploymentConfig proposed, long baseRevision, String changeId) {
        requireChangeId(changeId);
        // Looked up before the validation, which a repeated change may no longer pass against the
        // current configuration.
        Optional<ApplyResponse> repeated = responseOfAcceptedChange(changeId);
        if (repeated.isPresent()) {
            return repeated.get();
        }
        DeploymentConfig base = acceptedConfig();
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

    /**
     * Returns the response of the first attempt of a change, even if that attempt failed to send
     * it; empty if the change has not been accepted before.
     */
    private Optional<ApplyResponse> responseOfAcceptedChange(String changeId) {
        return mChanges.resultOfCommittedChange(changeId)
                .map(result -> result.getOrElseThrow(e -> e))
                .map(
                        accepted ->
                                ApplyResponse.newBuilder()
                                        .setRevision(accepted.revision())
                                        .addAllDifferences(
                                                ConfigDiff.between(
                                                        read(accepted.revision() - 1), accepted))
                                        .build())
                .toJavaOptional();
    }

    // ---- keys and states: the daemon edits the current configuration ----

    @Override
    public void addKey(AddKeyRequest request, StreamObserver<AddKeyResponse> out) {
        respond(
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
                    requireKeyStored(key, request.getWorkspace(), response.getRevision());
                    return AddKeyResponse.newBuilder()
                            .setRevision(response.getRevision())
                            .setKeyId(key.spec().keyId())
                            .setKey(key.key())
                            .build();
                });
    }

    /**
     * Requires that the accepted revision contains the generated key. It does not if the request
     * repeats an accepted change: that change added another key, of which only the digest is
     * stored, so that the key itself cannot be returned.
     *
     * @throws HeathercourseException of kind {@code CONFLICT} if the revision has another key
     */
    private void requireKeyStored(KeyGenerator.Generated key, String workspace, long revision) {
        boolean stored =
                read(revision).workspaces().stream()
                        .flatMap(w -> w.keys().stream())
                        .anyMatch(k -> k.keyId().equals(key.spec().keyId()));
        if (!stored) {
            throw new HeathercourseException(
                    ErrorKind.CONFLICT,
                    "this change was already accepted as revision "
                            + revision
                            + " and added a key to workspace "
                            + workspace
                            + ", of which only the digest is stored: "
                            + ConfigDiff.between(read(revision - 1), read(revision)),
                    "withdraw that key if it was not received, and add another with a new"
                            + " change_id");
        }
    }

    @Override
    public void withdrawKey(WithdrawKeyRequest request, StreamObserver<ApplyResponse> out) {
        respond(
                out,
                () ->
                        change(
                                request.getChangeId(),
                                config ->
                                        ConfigEdits.withWorkspace(
                                                config,
                                                request.getWorkspace(),
                                                w ->
                                                        ConfigEdits.withKeyWithdrawn(
                                                                w, request.getKeyId()))));
    }

    @Override
    public void setState(SetStateRequest request, StreamObserver<ApplyResponse> out) {
        LifecycleState state = ConfigMapper.state(request.getState());
        respond(
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
        for (int attempt = 0; attempt < MAX_CHANGE_ATTEMPTS; attempt++) {
            DeploymentConfig base = acceptedConfig();
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
        respond(
                out,
                () -> {
                    DeploymentConfig config =
                            request.getRevision() == 0
                                    ? acceptedConfig()
                                    : read(request.getRevision());
                    return GetConfigurationResponse.newBuilder()
                            .setRevision(config.revision())
                            .setConfiguration(ConfigMapper.toSchema(config))
                            .build();
                });
    }

    @Override
    public void listRevisions(
            ListRevisionsRequest request, StreamObserver<ListRevisionsResponse> out) {
        int limit = request.getLimit() <= 0 ? DEFAULT_REVISION_LIMIT : request.getLimit();
        respond(
                out,
                () ->
                        ListRevisionsResponse.newBuilder()
                                .addAllRevisions(mChanges.listRevisions(limit))
                                .build());
    }

    @Override
    public void getStatus(GetStatusRequest request, StreamObserver<GetStatusResponse> out) {
        respond(out, () -> mObservations.status(mConfig));
    }

    @Override
    public void listPrograms(
            ListProgramsRequest request, StreamObserver<ListProgramsResponse> out) {
        int limit = request.getLimit() <= 0 ? DEFAULT_PROGRAM_LIMIT : request.getLimit();
        respond(
                out,
                () ->
                        ListProgramsResponse.newBuilder()
                                .addAllPrograms(mObservations.programs(limit))
                                .build());
    }

    @Override
    public void getBurn(GetBurnRequest request, StreamObserver<GetBurnResponse> out) {
        respond(out, mObservations::burn);
    }

    @Override
    public void explain(ExplainRequest request, StreamObserver<ExplainResponse> out) {
        int limit = request.getLimit() <= 0 ? DEFAULT_DECISION_LIMIT : request.getLimit();
        respond(out, () -> mObservations.explain(request.getProgram(), limit));
    }

    @Override
    public void cancelProgram(
            CancelProgramRequest request, StreamObserver<CancelProgramResponse> out) {
        respond(
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
        long timeoutMillis =
                request.getTimeoutMillis() <= 0
                        ? DEFAULT_WATCH_TIMEOUT_MILLIS
                        : request.getTimeoutMillis();
        long endMillis = mTicker.readMillis() + timeoutMillis;
        mScheduler.execute(
                () ->
                        watchStep(
                                (ServerCallStreamObserver<WatchResponse>) out,
                                revision,
                                endMillis));
    }

    private void watchStep(
            ServerCallStreamObserver<WatchResponse> out, long revision, long endMillis) {
        if (out.isCancelled()) {
            return;
        }
        WatchResponse.Builder response = WatchResponse.newBuilder().setRevision(revision);
        Map<DaemonInfo, Optional<Long>> revisions = mProbe.probe();
        revisions.forEach(
                (daemon, inForce) -> {
                    if (inForce.isPresent() && inForce.get() >= revision) {
                        response.addInForce(daemon.vm().value());
                    } else {
                        response.addLacking(daemon.vm().value());
                    }
                });
        out.onNext(response.setDaemons(revisions.size()).build());
        if (response.getLackingCount() == 0 || mTicker.readMillis() >= endMillis) {
            out.onCompleted();
            return;
        }
        mScheduler.schedule(
                () -> watchStep(out, revision, endMillis),
                WATCH_PERIOD_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    // ---- helpers ----

    private DeploymentConfig acceptedConfig() {
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
        // Daemons always own the default number of shards. Programs in shards beyond it would have
        // no owner.
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
                ErrorKind.BAD_REQUEST,
                text.toString(),
                "correct the declaration and check it with: heathercourse ctl plan");
    }

    private static <T> void respond(StreamObserver<T> out, Supplier<T> work) {
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
