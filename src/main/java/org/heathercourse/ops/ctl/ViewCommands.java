package org.heathercourse.ops.ctl;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.heathercourse.ops.v1.CancelProgramRequest;
import org.heathercourse.ops.v1.GetConfigurationRequest;
import org.heathercourse.ops.v1.GetConfigurationResponse;
import org.heathercourse.ops.v1.GetStatusRequest;
import org.heathercourse.ops.v1.GetStatusResponse;
import org.heathercourse.ops.v1.KeyDeclaration;
import org.heathercourse.ops.v1.ListProgramsRequest;
import org.heathercourse.ops.v1.ListProgramsResponse;
import org.heathercourse.ops.v1.ProgramStatus;
import org.heathercourse.ops.v1.WorkspaceDeclaration;

/** Commands that show the status of a deployment. Not safe for use by several threads. */
final class ViewCommands {
    private final CtlSession mSession;

    ViewCommands(CtlSession session) {
        mSession = session;
    }

    ExitCode status() {
        GetStatusResponse status =
                mSession.connection()
                        .call(stub -> stub.getStatus(GetStatusRequest.getDefaultInstance()));
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("answered_by", status.getVm());
        fields.put("revision", status.getRevision());
        fields.put("fresh", status.getFresh());
        fields.put("store_down", status.getStoreDown());
        fields.put("pending_bytes", status.getPendingBytes());
        if (mSession.output() == Output.JSON) {
            fields.put("daemons", daemonObjects(status));
            fields.put("targets", targetObjects(status));
            mSession.output().printObject(mSession.out(), fields);
            return ExitCode.OK;
        }
        mSession.output().printObject(mSession.out(), fields);
        mSession.out().println();
        printTable(daemonObjects(status));
        mSession.out().println();
        printTable(targetObjects(status));
        return ExitCode.OK;
    }

    ExitCode keys(String workspace) {
        GetConfigurationResponse response =
                mSession.connection()
                        .call(
                                stub ->
                                        stub.getConfiguration(
                                                GetConfigurationRequest.getDefaultInstance()));
        WorkspaceDeclaration declared =
                response.getConfiguration().getWorkspacesList().stream()
                        .filter(w -> w.getWorkspace().equals(workspace))
                        .findFirst()
                        .orElseThrow(
                                () ->
                                        new UsageException(
                                                "workspace \"" + workspace + "\" is not declared"));
        List<List<Object>> rows = new ArrayList<>();
        for (KeyDeclaration key : declared.getKeysList()) {
            rows.add(List.of(key.getKeyId(), key.getWithdrawn() ? "withdrawn" : "valid"));
        }
        mSession.output().printRows(mSession.out(), List.of("key_id", "state"), rows);
        return ExitCode.OK;
    }

    ExitCode programs() {
        Map<String, List<Object>> rows = new LinkedHashMap<>();
        ListProgramsResponse response =
                mSession.connection()
                        .call(stub -> stub.listPrograms(ListProgramsRequest.getDefaultInstance()));
        for (ProgramStatus p : response.getProgramsList()) {
            rows.put(
                    p.getProgram(),
                    List.of(
                            p.getProgram(),
                            p.getWorkspace(),
                            p.getCalls(),
                            p.getSpentTokens(),
                            p.getReservedTokens(),
                            p.getBudgetTokens(),
                            p.getEndReason().isEmpty() ? "running" : p.getEndReason()));
        }
        mSession.output()
                .printRows(
                        mSession.out(),
                        List.of(
                                "program",
                                "workspace",
                                "calls",
                                "spent",
                                "reserved",
                                "budget",
                                "state"),
                        List.copyOf(rows.values()));
        return ExitCode.OK;
    }

    ExitCode cancel(String program) {
        CancelProgramRequest request =
                CancelProgramRequest.newBuilder().setProgram(program).build();
        mSession.connection().call(stub -> stub.cancelProgram(request));
        mSession.output().printObject(mSession.out(), Map.of("cancelled", program));
        return ExitCode.OK;
    }

    private void printTable(List<Map<String, Object>> objects) {
        if (objects.isEmpty()) {
            return;
        }
        List<String> columns = List.copyOf(objects.get(0).keySet());
        List<List<Object>> rows = new ArrayList<>();
        for (Map<String, Object> object : objects) {
            rows.add(new ArrayList<>(object.values()));
        }
        mSession.output().printRows(mSession.out(), columns, rows);
    }

    private static List<Map<String, Object>> daemonObjects(GetStatusResponse status) {
        List<Map<String, Object>> objects = new ArrayList<>();
        status.getDaemonsList()
                .forEach(
                        d -> {
                            Map<String, Object> object = new LinkedHashMap<>();
                            object.put("vm", d.getVm());
                            object.put("zone", d.getZone());
                            object.put("address", d.getCallerAddress());
                            object.put("shards", d.getShards());
                            object.put("draining", d.getDraining());
                            objects.add(object);
                        });
        return objects;
    }

    private static List<Map<String, Object>> targetObjects(GetStatusResponse status) {
        List<Map<String, Object>> objects = new ArrayList<>();
        status.getTargetsList()
                .forEach(
                        t -> {
                            Map<String, Object> object = new LinkedHashMap<>();
                            object.put("target", t.getTarget());
                            object.put("state", t.getState().name().toLowerCase());
                            object.put("running_here", t.getRunningHere());
                            object.put("healthy", t.getHealthy());
                            objects.add(object);
                        });
        return objects;
    }
}
