package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/**
 * Guards against a deployed gateway that lives on after its memory was exhausted, and against a
 * class archive that is recorded with other options than it is used with.
 */
class DeployedOptionsTest {
    private static final Pattern OPTIONS =
            Pattern.compile("java (-Xmx.*?) -XX:(?:ArchiveClassesAtExit|SharedArchiveFile)=");

    @Test
    void bothCommandsEndWithoutMemory() throws Exception {
        String text = Files.readString(Path.of("deploy/system.toml"));
        List<String> options =
                OPTIONS.matcher(text).results().map(result -> result.group(1)).toList();
        assertThat(options).hasSize(2);
        assertThat(options.get(0))
                .isEqualTo(options.get(1))
                .contains("-XX:+ExitOnOutOfMemoryError");
    }
}
