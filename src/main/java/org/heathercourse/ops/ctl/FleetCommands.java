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
 * Commands that query all daemons and merge their responses in the client, so that no daemon has to
 * aggregate for the others. Not safe for use by several threads.
 */
final class FleetCommands {
    // Limits concurrent connections in a deployment of 400 daemons.
    private static final int MAX_PARALLEL_CALLS = 16;

    private final CtlSession mSession;
    private BurnSnapshot mBurn = BurnSnapshot.empty();
    private long mEpochMillis;
    private String mOwner = "";

    FleetCommands(CtlSession session) {
        mSession = session;
    }

    ExitCode sloReport() {
        String format = mSession.outputFormatName();
        if (!List.of("table", "json", "html").contains(format)) {
            throw new UsageException(
                    "--output has an unknown format, expected table, json or html");
        }
        GetConfigurationResponse response =
                mSession.connection()
                        .call(
                                stub ->
                                        stub.getConfiguration(
                                                GetConfigurationRequest.getDefaultInstance()));
        DeploymentConfig config =
                ConfigMapper.toCore(response.getConfiguration(), DeploymentConfig.empty());
        boolean complete =
                callAllDaemons(
                        stub -> stub.getBurn(GetBurnRequest.getDefaultInstance()), this::merge);
        BurnReport report = BurnReport.of(mBurn, config.objectives(), mEpochMillis);
        switch (format) {
            case "json" -> mSession.out().println(report.toJson());
            case "html" -> mSession.out().println(report.toHtml());
            default -> mSession.out().print(report.toText());
        }
        return complete ? ExitCode.OK : ExitCode.UNAVAILABLE;
    }

    private void merge(GetBurnResponse response) {
        mBurn = mBurn.merge(BurnMapper.toCore(response.getCountsList()));
        mEpochMillis = Math.max(mEpochMillis, response.getEpochMillis());
    }

    ExitCode explain(String program) {
        ExplainRequest request = ExplainRequest.newBuilder().setProgram(program).build();
        List<List<Object>> rows = new ArrayList<>();
        boolean complete =
                callAllDaemons(stub -> stub.explain(request), r -> addDecisions(r, rows));
        rows.sort(Comparator.comparing(row -> (Instant) row.get(0)));
        rows.replaceAll(FleetCommands::withPrintableTime);
        mSession.progress().println("owner: " + (mOwner.isEmpty() ? "none at present" : mOwner));
        mSession.output()
                .printRows(
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
        return complete ? ExitCode.OK : ExitCode.UNAVAILABLE;
    }

    private void addDecisions(ExplainResponse response, List<List<Object>> rows) {
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

    private static List<Object> withPrintableTime(List<Object> row) {
        List<Object> printable = new ArrayList<>(row);
        printable.set(0, String.valueOf(row.get(0)));
        return printable;
    }

    /**
     * Calls all daemons in parallel and passes each response to a consumer, on the calling thread.
     * Prints the daemons that returned no result.
     *
     * @return whether all daemons returned a result
     */
    private <T> boolean callAllDaemons(
            Function<OperatorGrpc.OperatorBlockingStub, T> call, Consumer<T> consumer) {
        List<DaemonStatus> daemons =
                mSession.connection()
                        .call(stub -> stub.getStatus(GetStatusRequest.getDefaultInstance()))
                        .getDaemonsList();
        ExecutorService executor = Executors.newFixedThreadPool(MAX_PARALLEL_CALLS);
        try {
            List<Future<T>> responses = new ArrayList<>();
            for (DaemonStatus daemon : daemons) {
                responses.add(executor.submit(() -> callDaemon(daemon.getOperatorAddress(), call)));
            }
            boolean complete = true;
            for (int i = 0; i < responses.size(); i++) {
                complete &= awaitResponse(daemons.get(i).getVm(), responses.get(i), consumer);
            }
            return complete;
        } finally {
            executor.shutdownNow();
        }
    }

    private <T> boolean awaitResponse(String vm, Future<T> future, Consumer<T> consumer) {
        try {
            consumer.accept(future.get());
            return true;
        } catch (ExecutionException e) {
            if (e.getCause() instanceof StatusRuntimeException status) {
                mSession.progress()
                        .println(
                                "daemon "
                                        + vm
                                        + " returned no result: "
                                        + status.getStatus().getCode());
                return false;
            }
            throw new IllegalStateException("call to daemon " + vm + " failed", e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private <T> T callDaemon(String address, Function<OperatorGrpc.OperatorBlockingStub, T> call)
            throws SSLException {
        try (OperatorConnection connection = mSession.connection().connectTo(address)) {
            return connection.call(call);
        }
    }
}
