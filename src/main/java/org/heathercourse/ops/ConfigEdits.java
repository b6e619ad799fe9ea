package org.heathercourse.ops;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.config.KeySpec;
import org.heathercourse.core.config.LifecycleState;
import org.heathercourse.core.config.TargetSpec;
import org.heathercourse.core.config.VmSpec;
import org.heathercourse.core.config.WorkspaceSpec;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.ownership.DaemonInfo;

/** Returns copies of a configuration in which one item is changed. Stateless. */
final class ConfigEdits {
    private ConfigEdits() {}

    static DeploymentConfig withWorkspace(
            DeploymentConfig config, String workspace, UnaryOperator<WorkspaceSpec> edit) {
        List<WorkspaceSpec> edited = new ArrayList<>(config.workspaces());
        for (int i = 0; i < edited.size(); i++) {
            if (edited.get(i).workspace().value().equals(workspace)) {
                edited.set(i, edit.apply(edited.get(i)));
                return config.withWorkspaces(edited);
            }
        }
        throw notDeclared("workspace", workspace);
    }

    static WorkspaceSpec withKey(WorkspaceSpec workspace, KeySpec key) {
        List<KeySpec> keys = new ArrayList<>(workspace.keys());
        keys.add(key);
        return workspace.withKeys(keys);
    }

    static WorkspaceSpec withKeyWithdrawn(WorkspaceSpec workspace, String keyId) {
        List<KeySpec> keys = new ArrayList<>(workspace.keys());
        for (int i = 0; i < keys.size(); i++) {
            KeySpec key = keys.get(i);
            if (key.keyId().equals(keyId)) {
                keys.set(i, new KeySpec(key.keyId(), key.sha256Hex(), true));
                return workspace.withKeys(keys);
            }
        }
        throw notDeclared("key", keyId);
    }

    static DeploymentConfig withTargetState(
            DeploymentConfig config, String target, LifecycleState state) {
        List<TargetSpec> targets = new ArrayList<>(config.targets());
        for (int i = 0; i < targets.size(); i++) {
            if (targets.get(i).target().value().equals(target)) {
                targets.set(i, targets.get(i).withState(state));
                return config.withTargets(targets);
            }
        }
        throw notDeclared("target", target);
    }

    static DeploymentConfig withVmState(
            DeploymentConfig config, String vm, LifecycleState state, List<DaemonInfo> daemons) {
        List<VmSpec> vms = new ArrayList<>(config.vms());
        for (int i = 0; i < vms.size(); i++) {
            if (vms.get(i).vm().value().equals(vm)) {
                vms.set(i, vms.get(i).withState(state));
                return config.toBuilder().vms(vms).build();
            }
        }
        DaemonInfo daemon =
                daemons.stream()
                        .filter(d -> d.vm().value().equals(vm))
                        .findFirst()
                        .orElseThrow(() -> notDeclared("VM", vm));
        vms.add(new VmSpec(daemon.vm(), daemon.zone(), state, ""));
        return config.toBuilder().vms(vms).build();
    }

    static HeathercourseException notDeclared(String itemType, String name) {
        return new HeathercourseException(
                ErrorKind.BAD_REQUEST,
                itemType + " \"" + name + "\" is not declared",
                "list what is declared with: heathercourse ctl get");
    }
}
