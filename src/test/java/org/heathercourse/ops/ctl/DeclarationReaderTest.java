package org.heathercourse.ops.ctl;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Path;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.ops.ConfigMapper;
import org.heathercourse.ops.v1.Configuration;
import org.junit.jupiter.api.Test;

/** Guards against errors in a declaration that are accepted or reported without their location. */
class DeclarationReaderTest {
    @Test
    void committedExampleIsUnchangedByConversionToCoreAndBack() {
        Configuration declared =
                DeclarationReader.read(Path.of("examples/quickstart/configuration.yaml"));
        DeploymentConfig config = ConfigMapper.toCore(declared);
        assertThat(config.targets()).hasSize(6);
        assertThat(ConfigMapper.toCore(ConfigMapper.toSchema(config))).isEqualTo(config);
    }

    @Test
    void unknownFieldIsReportedWithFileLineAndField() {
        assertThatThrownBy(
                        () ->
                                DeclarationReader.parse(
                                        "a.yaml",
                                        "shards: 64\ntargets:\n  - target: e\n    zoen: n"))
                .hasMessageContaining("a.yaml:4: targets[0].zoen: is not a known field")
                .hasMessageContaining("base_url");
    }

    @Test
    void wrongTypesAndValuesAreRejected() {
        assertThatThrownBy(() -> DeclarationReader.parse("a", "shards: many"))
                .hasMessageContaining("a:1: shards: is \"many\", expected a whole number");
        assertThatThrownBy(() -> DeclarationReader.parse("a", "shards: -1"))
                .hasMessageContaining("expected 0 to");
        assertThatThrownBy(() -> DeclarationReader.parse("a", "targets: none"))
                .hasMessageContaining("expected a list");
        assertThatThrownBy(() -> DeclarationReader.parse("a", "services: [{kind: engine}]"))
                .hasMessageContaining("expected one of model, plain");
        assertThatThrownBy(() -> DeclarationReader.parse("a", "shards: 1\nshards: 2"))
                .hasMessageContaining("twice");
        assertThatThrownBy(() -> DeclarationReader.parse("a", "- x"))
                .hasMessageContaining("expected a mapping");
        assertThatThrownBy(() -> DeclarationReader.parse("a", "")).hasMessageContaining("empty");
    }

    @Test
    void reapplyingDeclarationKeepsKeysAndStatesSetByCommands() {
        Configuration declared =
                DeclarationReader.parse(
                        "a",
                        "workspaces: [{workspace: w, rate_per_second: 1, burst: 1}]\n"
                                + "targets: [{target: t, service: s, zone: z}]");
        Configuration changed =
                DeclarationReader.parse(
                        "a",
                        "workspaces: [{workspace: w, rate_per_second: 1, burst: 1,"
                                + " keys: [{key_id: k, sha256_hex: ab}]}]\n"
                                + "targets: [{target: t, service: s, zone: z, state: draining}]\n"
                                + "vms: [{vm: v, zone: z, state: draining}]");
        DeploymentConfig present = ConfigMapper.toCore(changed);
        assertThat(ConfigMapper.toCore(declared, present)).isEqualTo(present);
    }
}
