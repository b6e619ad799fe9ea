package org.heathercourse.gateway;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.ServiceLoader;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.daemon.settings.Program;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.daemon.settings.SettingProblem;
import org.heathercourse.daemon.settings.Settings;
import org.heathercourse.platform.entry.HostedPlatform;

/** Reads settings on a hosted platform, and finds the platform's adapter. Stateless. */
public final class PlatformSettings {
    private PlatformSettings() {}

    /**
     * Reads the settings of an executable from its flags, the platform's settings file and the
     * environment; the first of these that has a setting takes precedence.
     *
     * @param program the executable
     * @param arguments flags
     * @param variables environment variables, among them the one with the path of the file
     * @return the settings, or all problems found
     */
    public static Either<List<SettingProblem>, Settings> read(
            Program program, String[] arguments, Map<String, String> variables) {
        Map<String, String> environment = new HashMap<>(variables);
        for (HostedPlatform platform : ServiceLoader.load(HostedPlatform.class)) {
            String path = variables.get(platform.settingsFileVariable());
            if (path != null) {
                try {
                    environment.putAll(parseVariables(Files.readAllLines(Path.of(path))));
                } catch (IOException e) {
                    return Either.left(
                            List.of(
                                    new SettingProblem(
                                            platform.settingsFileVariable(),
                                            "\"" + path + "\" (" + e.getMessage() + ")",
                                            "a readable file",
                                            "set the path of the settings file")));
                }
            }
        }
        return Settings.parse(program, arguments, environment);
    }

    /** Parses lines of the form NAME=value; ignores other lines and those that start with #. */
    private static Map<String, String> parseVariables(List<String> lines) {
        Map<String, String> variables = new HashMap<>();
        for (String line : lines) {
            int equals = line.indexOf('=');
            if (equals > 0 && !line.startsWith("#")) {
                variables.put(line.substring(0, equals).trim(), line.substring(equals + 1).trim());
            }
        }
        return variables;
    }

    /**
     * Returns the adapter of the platform that the settings name.
     *
     * @param settings settings with {@link Setting#PLATFORM}
     * @throws HeathercourseException if no adapter has this name
     */
    public static HostedPlatform findPlatform(Settings settings) {
        String name = settings.text(Setting.PLATFORM);
        ServiceLoader<HostedPlatform> platforms = ServiceLoader.load(HostedPlatform.class);
        for (HostedPlatform platform : platforms) {
            if (platform.name().equals(name)) {
                return platform;
            }
        }
        String installed =
                StreamSupport.stream(platforms.spliterator(), false)
                        .map(HostedPlatform::name)
                        .collect(Collectors.joining(", "));
        throw new HeathercourseException(
                ErrorKind.INVALID_SETTING,
                "platform \"" + name + "\" has no adapter",
                "set --platform or HEATHERCOURSE_PLATFORM to an installed one: " + installed);
    }
}
