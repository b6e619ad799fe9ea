package org.heathercourse.ops.ctl;

import io.grpc.StatusRuntimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.function.Function;
import javax.net.ssl.SSLException;
import org.heathercourse.core.burn.BurnReport;
import org.heathercourse.core.burn.BurnSnapshot;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.ops.BurnMapper;
import org.heathercourse.ops.ConfigMapper;
import org.heathercourse.ops.v1.CallDecision;
import org.heathercourse.ops.v1.DaemonStatus;
import org.heathercourse.ops.v1.ExplainRequest;
import org.heathercourse.ops.v1.ExplainResponse;
import org.heathercourse.ops.v1.GetBurnRequest;
import org.heathercourse.ops.v1.GetBurnResponse;
import org.heathercourse.ops.v1.GetConfigurationRequest;
import org.heathercourse.ops.v1.GetConfigurationResponse;
import org.heathercourse.ops.v1.GetStatusRequest;
import org.heathercourse.ops.v1.OperatorGrpc;

/**
 * Commands that ask all daemons and put their answers together, so that no daemon does this work
 * for the others. Not safe for use by several threads.
 */
final class FleetCommands {
    // Bounds the connections that are open at once in a deployment of 400 daemons.
    private static final int PARALLEL = 16;

    private final CtlSession mSession;
    private BurnSnapshot mBurn = BurnSnapshot.empty();
    private long mEpochMillis;
    private String mOwner = "";

    FleetCommands(CtlSession session) {
        mSession = session;
    }

    ExitCode burn() {
        String form = mSession.outputName();
        if (!List.of("table", "json", "html").contains(form)) {
            throw new UsageException("--output takes table, json or html");
        }
        GetConfigurationResponse present =
                mSession.connection()
                        .call(
                                stub ->
                                        stub.getConfiguration(
                                                GetConfigurationRequest.getDefaultInstance()));
        DeploymentConfig config =
                ConfigMapper.toCore(present.getConfiguration(), DeploymentConfig.empty());
        boolean whole =
                askAll(stub -> stub.getBurn(GetBurnRequest.getDefaultInstance()), this::merge);
        BurnReport report = BurnReport.of(mBurn, config.objectives(), mEpochMillis);
        switch (form) {
            case "json" -> mSession.out().println(report.toJson());
            case "html" -> mSession.out().println(report.toHtml());
            default -> mSession.out().print(report.toText());
        }
        return whole ? ExitCode.OK : ExitCode.UNAVAILABLE;
    }

    private void merge(GetBurnResponse response) {
        mBurn = mBurn.merge(BurnMapper.toCore(response.getCountsList()));
        mEpochMillis = Math.max(mEpochMillis, response.getEpochMillis());
    }

    ExitCode explain(String program) {
        ExplainRequest request = ExplainRequest.newBuilder().setProgram(program).build();
        List<List<Object>> rows = new ArrayList<>();
        boolean whole = askAll(stub -> stub.explain(request), r -> collect(r, rows));
        rows.sort(Comparator.comparing(row -> (Instant) row.get(0)));
        rows.replaceAll(FleetCommands::printable);
        mSession.progress().println("owner: " + (mOwner.isEmpty() ? "none at present" : mOwner));
        mSession.output()
                .rows(
                        mSession.out(),
                        List.of(
                                "time",
                                "daemon",
                                "request",
                                "outcome",
                                "target",
                                "priority",
                                "expected_ms",
                                "cached_tokens",
                                "error_kind",
                                "reason"),
                        rows);
        return whole ? ExitCode.OK : ExitCode.UNAVAILABLE;
    }

    private void collect(ExplainResponse response, List<List<Object>> rows) {
        mOwner = response.getOwnerVm().isEmpty() ? mOwner : response.getOwnerVm();
        for (CallDecision d : response.getDecisionsList()) {
            rows.add(
                    List.of(
                            Instant.ofEpochMilli(d.getEpochMillis()),
                            response.getVm(),
                            d.getRequest(),
                            d.getOutcome().name().toLowerCase(Locale.ROOT),
                            d.getTarget(),
                            d.getPriority(),
                            d.getExpectedMillis(),
                            d.getCachedTokens(),
                            d.getErrorKind(),
                            d.getReason()));
        }
    }

    private static List<Object> printable(List<Object> row) {
        List<Object> printable = new ArrayList<>(row);
        printable.set(0, String.valueOf(row.get(0)));
        return printable;
    }

    /** Asks all daemons; returns whether all answered, and names those that did not. */
    private <T> boolean askAll(
            Function<OperatorGrpc.OperatorBlockingStub, T> call, Consumer<T> answer) {
        List<DaemonStatus> daemons =
                mSession.connection()
                        .call(stub -> stub.getStatus(GetStatusRequest.getDefaultInstance()))
                        .getDaemonsList();
        ExecutorService threads = Executors.newFixedThreadPool(PARALLEL);
        try {
            List<Future<T>> answers = new ArrayList<>();
            for (DaemonStatus daemon : daemons) {
                answers.add(threads.submit(() -> ask(daemon.getOperatorAddress(), call)));
            }
            boolean whole = true;
            for (int i = 0; i < answers.size(); i++) {
                whole &= take(daemons.get(i).getVm(), answers.get(i), answer);
            }
            return whole;
        } finally {
            threads.shutdownNow();
        }
    }

    private <T> boolean take(String vm, Future<T> future, Consumer<T> answer) {
        try {
            answer.accept(future.get());
            return true;
        } catch (ExecutionException e) {
            if (e.getCause() instanceof StatusRuntimeException status) {
                mSession.progress()
                        .println("daemon " + vm + " is missing: " + status.getStatus().getCode());
                return false;
            }
            throw new IllegalStateException("daemon " + vm + " could not be asked", e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private <T> T ask(String address, Function<OperatorGrpc.OperatorBlockingStub, T> call)
            throws SSLException {
        try (OperatorConnection connection = mSession.connection().to(address)) {
            return connection.call(call);
        }
    }
}
