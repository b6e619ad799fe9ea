package org.heathercourse.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Guards against I/O and clock access in the core, which would make its decisions impossible to
 * test and replay, and against other dependencies between layers.
 */
@AnalyzeClasses(
        packages = "org.heathercourse",
        importOptions = ImportOption.DoNotIncludeTests.class)
class LayeringTest {
    @ArchTest
    static final ArchRule CORE_DOES_NO_IO =
            noClasses()
                    .that()
                    .resideInAPackage("..heathercourse.core..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "java.net..",
                            "java.nio.channels..",
                            "java.nio.file..",
                            "okhttp3..",
                            "io.netty..",
                            "io.javalin..",
                            "io.grpc..",
                            "org.heathercourse.platform..",
                            "org.heathercourse.daemon..",
                            "org.heathercourse.ops..",
                            "org.heathercourse.testing..");

    @ArchTest
    static final ArchRule CORE_READS_NO_WALL_CLOCK =
            noClasses()
                    .that()
                    .resideInAPackage("..heathercourse.core..")
                    .should()
                    .callMethod(System.class, "currentTimeMillis")
                    .orShould()
                    .callMethod(Instant.class, "now")
                    .orShould()
                    .callMethod(Math.class, "random");

    @ArchTest
    static final ArchRule PLATFORM_DOES_NOT_DEPEND_ON_THE_DAEMON =
            noClasses()
                    .that()
                    .resideInAPackage("..heathercourse.platform..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "org.heathercourse.daemon..",
                            "org.heathercourse.ops..",
                            "org.heathercourse.testing..");

    @ArchTest
    static final ArchRule NO_CLASS_DEPENDS_ON_THE_HOSTED_PLATFORM =
            noClasses()
                    .that()
                    .resideOutsideOfPackage("org.heathercourse.platform.hosted..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage("org.heathercourse.platform.hosted..");

    @ArchTest
    static final ArchRule HOSTED_PLATFORM_DOES_NOT_DEPEND_ON_DECISIONS =
            noClasses()
                    .that()
                    .resideInAPackage("org.heathercourse.platform.hosted..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "org.heathercourse.gateway..",
                            "org.heathercourse.core.attempt..",
                            "org.heathercourse.core.budget..",
                            "org.heathercourse.core.fleet..",
                            "org.heathercourse.core.limits..",
                            "org.heathercourse.core.freshness..");

    /** Wire names of the hosted platform may appear only in its adapter and in its stand-ins. */
    @Test
    void hostedPlatformNamesStayInItsPackages() throws IOException {
        List<String> found = new ArrayList<>();
        try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                String path = file.toString();
                String text = Files.readString(file);
                boolean allowed =
                        path.contains("/platform/hosted/") || path.contains("/testing/hosted/");
                if (!allowed && PLATFORM_NAMES.matcher(text).find()) {
                    found.add(path);
                }
            }
        }
        assertThat(found).isEmpty();
    }

    private static final Pattern PLATFORM_NAMES =
            Pattern.compile("X-Heathercourse-|/api/(rows|resolve|readiness)|row_version|ttl_s");
}
