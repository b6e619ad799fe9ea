package org.heathercourse.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against starting with invalid settings, and against problems that are not all reported.
 */
class SettingsTest {
    private static Map<String, String> environment() {
        Map<String, String> env = new HashMap<>();
        env.put("HEATHERCOURSE_VM_ID", "vm-1");
        env.put("HEATHERCOURSE_ZONE", "oslo");
        env.put("HEATHERCOURSE_HOST", "127.0.0.1");
        env.put("HEATHERCOURSE_TABLE_URL", "http://127.0.0.1:9101");
        env.put("HEATHERCOURSE_OBJECTS_URL", "http://127.0.0.1:9102");
        env.put("HEATHERCOURSE_VM_LIST_URL", "http://127.0.0.1:9103");
        env.put("HEATHERCOURSE_WEIGHTS_URL", "http://127.0.0.1:9104");
        env.put("HEATHERCOURSE_PEER_SECRET", "0123456789abcdef");
        env.put("HEATHERCOURSE_OPERATOR_TOKEN", "fedcba9876543210");
        return env;
    }

    private static List<SettingProblem> problems(Map<String, String> env, String... arguments) {
        return Settings.parse(arguments, env).getLeft();
    }

    @Test
    void flagOverridesEnvironmentVariable() {
        Settings settings = Settings.parse(new String[] {"--zone", "bergen"}, environment()).get();
        assertThat(settings.zone().value()).isEqualTo("bergen");
        assertThat(settings.vm().value()).isEqualTo("vm-1");
        assertThat(settings.port(Setting.CALLER_PORT)).isEqualTo(8080);
    }

    @Test
    void reportsAllProblemsAtOnce() {
        Map<String, String> env = environment();
        env.remove("HEATHERCOURSE_VM_ID");
        env.put("HEATHERCOURSE_HOST", "my-host");
        List<SettingProblem> problems = problems(env, "--caller-port", "99999");
        assertThat(problems)
                .extracting(SettingProblem::setting)
                .containsExactly("--vm-id", "HEATHERCOURSE_HOST", "--caller-port");
        assertThat(problems.get(2).line())
                .contains("99999")
                .contains("from 1 to 65535")
                .contains("correct the value");
    }

    @Test
    void hidesSecrets() {
        Map<String, String> env = environment();
        env.put("HEATHERCOURSE_PEER_SECRET", "short");
        assertThat(problems(env).get(0).line()).doesNotContain("short").contains("(hidden)");
        Settings settings = Settings.parse(new String[0], environment()).get();
        assertThat(settings.toString()).doesNotContain("0123456789abcdef");
    }

    @Test
    void rejectsUnknownFlagsAndPositionalArguments() {
        assertThat(problems(environment(), "--no-such-flag", "1").get(0).line())
                .contains("no-such-flag");
        assertThat(problems(environment(), "stray").get(0).line()).contains("stray");
    }

    @Test
    void rejectsDuplicatePortsAndIncompleteTls() {
        assertThat(problems(environment(), "--caller-port", "9000", "--peer-port", "9000"))
                .hasSize(1);
        assertThat(problems(environment(), "--tls-key", "pom.xml").get(0).line())
                .contains("--tls-certificate");
    }

    @Test
    void parsesGatewaySettings() {
        Map<String, String> env = new HashMap<>();
        env.put("HEATHERCOURSE_VM_ID", "vm-1");
        env.put("HEATHERCOURSE_ZONE", "oslo");
        env.put("HEATHERCOURSE_PLATFORM", "hosted");
        env.put("HEATHERCOURSE_CALLER_ADDRESS", "10.1.0.5:8368");
        env.put("HEATHERCOURSE_READINESS_ADDRESS", "10.1.0.5:8369");
        env.put("HEATHERCOURSE_DIRECTORY_ADDRESS", "10.1.0.5");
        env.put("HEATHERCOURSE_PEER_ADDRESS", "10.1.0.5:99999");
        env.put("HEATHERCOURSE_METRICS_ADDRESS", "10.1.0.5:7790");
        env.put("HEATHERCOURSE_STOP_GRACE_SECONDS", "8.5");
        List<SettingProblem> problems =
                Settings.parse(Program.GATEWAY, new String[0], env).getLeft();
        assertThat(problems)
                .extracting(SettingProblem::setting)
                .containsExactly(
                        "HEATHERCOURSE_DIRECTORY_ADDRESS",
                        "HEATHERCOURSE_PEER_ADDRESS",
                        "--store-address");
        env.put("HEATHERCOURSE_DIRECTORY_ADDRESS", "10.1.0.5:8360");
        env.put("HEATHERCOURSE_PEER_ADDRESS", "10.1.0.5:8367");
        env.put("HEATHERCOURSE_STORE_ADDRESS", "10.200.1.7:8362");
        Settings settings = Settings.parse(Program.GATEWAY, new String[0], env).get();
        assertThat(settings.endpoint(Setting.STORE_ADDRESS).getPort()).isEqualTo(8362);
        assertThat(settings.decimal(Setting.STOP_GRACE_SECONDS)).isEqualTo(8.5);
        assertThat(settings.decimal(Setting.KEY_WITHDRAWAL_MS)).isEqualTo(5_000);
    }
}
