package org.heathercourse.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.time.Instant;

/** Guards against decisions that do I/O or read a clock, which could not be tested or replayed. */
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
    static final ArchRule PLATFORM_DOES_NOT_KNOW_THE_DAEMON =
            noClasses()
                    .that()
                    .resideInAPackage("..heathercourse.platform..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "org.heathercourse.daemon..",
                            "org.heathercourse.ops..",
                            "org.heathercourse.testing..");
}
