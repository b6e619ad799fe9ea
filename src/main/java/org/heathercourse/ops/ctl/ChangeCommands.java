package org.heathercourse.ops.ctl;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.heathercourse.ops.v1.AddKeyRequest;
import org.heathercourse.ops.v1.AddKeyResponse;
import org.heathercourse.ops.v1.ApplyRequest;
import org.heathercourse.ops.v1.ApplyResponse;
import org.heathercourse.ops.v1.Configuration;
import org.heathercourse.ops.v1.GetConfigurationRequest;
import org.heathercourse.ops.v1.GetConfigurationResponse;
import org.heathercourse.ops.v1.ListRevisionsRequest;
import org.heathercourse.ops.v1.ListRevisionsResponse;
import org.heathercourse.ops.v1.PlanRequest;
import org.heathercourse.ops.v1.PlanResponse;
import org.heathercourse.ops.v1.SetStateRequest;
import org.heathercourse.ops.v1.StateDeclaration;
import org.heathercourse.ops.v1.UndoRequest;
import org.heathercourse.ops.v1.WatchRequest;
import org.heathercourse.ops.v1.WatchResponse;
import org.heathercourse.ops.v1.WithdrawKeyRequest;

/** Commands that plan, apply or watch changes. Not safe for use by several threads. */
final class ChangeCommands {
    private static final long WATCH_TIMEOUT_MILLIS = 30_000;

    private final CtlSession mSession;

    ChangeCommands(CtlSession session) {
        mSession = session;
    }

    ExitCode plan() {
        PlanResponse plan = requestPlan(mSession.declaration());
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("base_revision", plan.getBaseRevision());
        fields.put("differences", List.copyOf(plan.getDifferencesList()));
        fields.put("problems", formatProblems(plan));
        mSession.output().printObject(mSession.out(), fields);
        return plan.getProblemsCount() == 0 ? ExitCode.OK : ExitCode.INVALID;
    }

    ExitCode apply() {
        Configuration declaration = mSession.declaration();
        long base = mSession.revision();
        if (!mSession.hasRevision()) {
            PlanResponse plan = requestPlan(declaration);
            if (plan.getProblemsCount() > 0) {
                formatProblems(plan).forEach(mSession.progress()::println);
                return ExitCode.INVALID;
            }
            base = plan.getBaseRevision();
        }
        ApplyRequest request =
                ApplyRequest.newBuilder()
                        .setConfiguration(declaration)
                        .setBaseRevision(base)
                        .setChangeId(mSession.newChangeId())
                        .build();
        return reportAccepted(mSession.connection().call(stub -> stub.apply(request)));
    }

    ExitCode get() {
        GetConfigurationRequest request =
                GetConfigurationRequest.newBuilder().setRevision(mSession.revision()).build();
        GetConfigurationResponse response =
                mSession.connection().call(stub -> stub.getConfiguration(request));
        try {
            mSession.out()
                    .println(JsonFormat.printer().preservingProtoFieldNames().print(response));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("a configuration cannot be written as JSON", e);
        }
        return ExitCode.OK;
    }

    ExitCode history() {
        ListRevisionsResponse response =
                mSession.connection()
                        .call(
                                stub ->
                                        stub.listRevisions(
                                                ListRevisionsRequest.getDefaultInstance()));
        List<List<Object>> rows =
                response.getRevisionsList().stream().map(r -> List.<Object>of(r)).toList();
        mSession.output().printRows(mSession.out(), List.of("revision"), rows);
        return ExitCode.OK;
    }

    ExitCode undo(String revision) {
        UndoRequest request =
                UndoRequest.newBuilder()
                        .setRevision(CtlSession.parseWholeNumber(revision))
                        .setBaseRevision(currentRevision())
                        .setChangeId(mSession.newChangeId())
                        .build();
        return reportAccepted(mSession.connection().call(stub -> stub.undo(request)));
    }

    ExitCode addKey(String workspace) {
        AddKeyRequest request =
                AddKeyRequest.newBuilder()
                        .setWorkspace(workspace)
                        .setChangeId(mSession.newChangeId())
                        .build();
        AddKeyResponse response = mSession.connection().call(stub -> stub.addKey(request));
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("revision", response.getRevision());
        fields.put("key_id", response.getKeyId());
        fields.put("key", response.getKey());
        mSession.output().printObject(mSession.out(), fields);
        return mSession.shouldWait() ? watch(response.getRevision()) : ExitCode.OK;
    }

    ExitCode withdrawKey(String workspace, String keyId) {
        WithdrawKeyRequest request =
                WithdrawKeyRequest.newBuilder()
                        .setWorkspace(workspace)
                        .setKeyId(keyId)
                        .setChangeId(mSession.newChangeId())
                        .build();
        return reportAccepted(mSession.connection().call(stub -> stub.withdrawKey(request)));
    }

    ExitCode setState(String subject, String state) {
        SetStateRequest.Builder request =
                SetStateRequest.newBuilder()
                        .setState(StateDeclaration.valueOf(state))
                        .setChangeId(mSession.newChangeId());
        if (subject.startsWith("target/")) {
            request.setTarget(subject.substring("target/".length()));
        } else if (subject.startsWith("vm/")) {
            request.setVm(subject.substring("vm/".length()));
        } else {
            throw new UsageException("\"" + subject + "\", expected target/ID or vm/ID");
        }
        return reportAccepted(mSession.connection().call(stub -> stub.setState(request.build())));
    }

    ExitCode watch(long revision) {
        WatchRequest request =
                WatchRequest.newBuilder()
                        .setRevision(revision)
                        .setTimeoutMillis(WATCH_TIMEOUT_MILLIS)
                        .build();
        Iterator<WatchResponse> responses =
                mSession.connection().streamingStub(2 * WATCH_TIMEOUT_MILLIS).watch(request);
        WatchResponse last = WatchResponse.getDefaultInstance();
        while (responses.hasNext()) {
            last = responses.next();
            mSession.progress()
                    .printf(
                            "revision %d in force at %d of %d daemons%n",
                            last.getRevision(), last.getInForceCount(), last.getDaemons());
        }
        boolean inForce = last.getLackingCount() == 0;
        if (!inForce) {
            mSession.progress().println("lacking: " + String.join(", ", last.getLackingList()));
        }
        return inForce ? ExitCode.OK : ExitCode.NOT_IN_FORCE;
    }

    private ExitCode reportAccepted(ApplyResponse response) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("revision", response.getRevision());
        fields.put("differences", List.copyOf(response.getDifferencesList()));
        mSession.output().printObject(mSession.out(), fields);
        return mSession.shouldWait() ? watch(response.getRevision()) : ExitCode.OK;
    }

    private PlanResponse requestPlan(Configuration declaration) {
        PlanRequest request = PlanRequest.newBuilder().setConfiguration(declaration).build();
        return mSession.connection().call(stub -> stub.plan(request));
    }

    private long currentRevision() {
        GetConfigurationRequest request = GetConfigurationRequest.getDefaultInstance();
        return mSession.connection().call(stub -> stub.getConfiguration(request)).getRevision();
    }

    private static List<String> formatProblems(PlanResponse plan) {
        return plan.getProblemsList().stream()
                .map(p -> p.getPath() + ": " + p.getMessage() + "; " + p.getRemedy())
                .toList();
    }
}
