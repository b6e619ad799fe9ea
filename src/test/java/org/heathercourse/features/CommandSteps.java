package org.heathercourse.features;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.util.JsonFormat;
import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.heathercourse.ops.ctl.Ctl;
import org.heathercourse.ops.ctl.ExitCode;
import org.heathercourse.ops.v1.Configuration;
import org.heathercourse.ops.v1.GetConfigurationRequest;
import org.heathercourse.ops.v1.GetConfigurationResponse;
import org.heathercourse.testing.deployment.LocalDeployment;

/** Steps for the operator command line and for processes that exit with an error. */
public class CommandSteps {
    private static final long EXIT_SECONDS = 30;

    private Path mDeclarationFile;
    private Configuration mDeclaration;
    private int mExitCode;
    private String mErrorOutput;

    // ---- ctl ----

    @Given("a declaration of what is in force")
    public void declareCurrentConfiguration() throws IOException {
        mDeclarationFile = Files.createTempFile("declaration", ".yaml");
        mDeclaration = currentConfiguration().getConfiguration();
        writeDeclaration();
    }

    @When("the declaration gets another rate")
    public void changeRate() throws IOException {
        Configuration.Builder changed = mDeclaration.toBuilder();
        changed.getWorkspacesBuilder(0).setRatePerSecond(1_001);
        mDeclaration = changed.build();
        writeDeclaration();
    }

    @When("the declaration loses its zones")
    public void removeZones() throws IOException {
        mDeclaration = mDeclaration.toBuilder().clearZones().build();
        writeDeclaration();
    }

    private void writeDeclaration() throws IOException {
        // JSON is valid YAML. Keys and states are omitted, as in the declarations of operators.
        Configuration.Builder partial = mDeclaration.toBuilder();
        partial.getWorkspacesBuilderList().forEach(w -> w.clearKeys());
        partial.getTargetsBuilderList().forEach(t -> t.clearState());
        String json = JsonFormat.printer().preservingProtoFieldNames().print(partial.build());
        // Protobuf prints 64-bit integers as JSON strings; declarations contain numbers.
        Files.writeString(
                mDeclarationFile,
                json.replaceAll("(_(?:bytes|tokens|millis)\": )\"(\\d+)\"", "$1$2"));
    }

    private static GetConfigurationResponse currentConfiguration() {
        return SharedDeployment.get()
                .operator()
                .call(s -> s.getConfiguration(GetConfigurationRequest.getDefaultInstance()));
    }

    @Then("{string} exits with {word}")
    public void exitsWith(String command, String exit) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
        ExitCode code = Ctl.run(arguments(command), environment(), stream, stream);
        assertThat(code).as(command + ": " + output).isEqualTo(ExitCode.valueOf(exit));
    }

    @Then("{string} leaves the revision as it is")
    public void revisionIsUnchanged(String command) {
        long revisionBefore = currentConfiguration().getRevision();
        exitsWith(command, "OK");
        assertThat(currentConfiguration().getRevision()).isEqualTo(revisionBefore);
    }

    @Then("the process {string} exits with code {int}")
    public void processExits(String command, int code) throws Exception {
        run(environment(), arguments(command));
        assertThat(mExitCode).as(mErrorOutput).isEqualTo(code);
    }

    private String[] arguments(String command) {
        return Arrays.stream(command.split(" "))
                .map(word -> word.equals("FILE") ? mDeclarationFile.toString() : word)
                .toArray(String[]::new);
    }

    private static Map<String, String> environment() {
        LocalDeployment deployment = SharedDeployment.get();
        int port = deployment.daemons().get(0).endpoints().operatorPort();
        return Map.of(
                "HEATHERCOURSE_OPERATOR_ADDRESS",
                "127.0.0.1:" + port,
                "HEATHERCOURSE_OPERATOR_TOKEN",
                deployment.operatorToken());
    }

    // ---- processes ----

    @When("a daemon is started with a wrong port, a wrong address and without a peer secret")
    public void startDaemonWithInvalidSettings() throws Exception {
        Map<String, String> environment = new HashMap<>();
        for (String name : List.of("OBJECTS_URL", "VM_LIST_URL", "WEIGHTS_URL")) {
            environment.put("HEATHERCOURSE_" + name, "http://127.0.0.1:1");
        }
        environment.put("HEATHERCOURSE_OPERATOR_TOKEN", "operator-token-for-trials");
        run(
                environment,
                "daemon",
                "--vm-id",
                "vm-1",
                "--zone",
                "north",
                "--host",
                "127.0.0.1",
                "--caller-port",
                "99999",
                "--table-url",
                "nowhere");
    }

    @Then("it exits with code {int}")
    public void exitsWithCode(int code) {
        assertThat(mExitCode).as(mErrorOutput).isEqualTo(code);
    }

    @Then("its error output names {string}, {string} and {string}")
    public void errorOutputContains(String first, String second, String third) {
        assertThat(mErrorOutput).contains(first, second, third);
    }

    private void run(Map<String, String> environment, String... arguments) throws Exception {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.add("org.heathercourse.cli.Main");
        command.addAll(List.of(arguments));
        Path errors = Files.createTempFile("process", ".log");
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(name -> name.startsWith("HEATHERCOURSE_"));
        builder.environment().putAll(environment);
        Process process =
                builder.redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .redirectError(errors.toFile())
                        .start();
        try {
            assertThat(process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS)).isTrue();
            mExitCode = process.exitValue();
            mErrorOutput = Files.readString(errors);
        } finally {
            process.destroyForcibly();
            Files.delete(errors);
        }
    }

    /** Deletes the declaration file. */
    @After
    public void deleteFile() throws IOException {
        if (mDeclarationFile != null) {
            Files.deleteIfExists(mDeclarationFile);
        }
    }
}
