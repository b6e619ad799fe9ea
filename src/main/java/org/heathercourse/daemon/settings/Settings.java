package org.heathercourse.daemon.settings;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.Zone;
import org.heathercourse.log.LogLevel;

/**
 * The validated settings of an executable.
 *
 * <p>Immutable and safe for use by several threads. {@link #toString()} masks secrets.
 */
public final class Settings {
    private static final String HIDDEN = "(hidden)";

    private final Map<Setting, String> mValues;

    private Settings(Map<Setting, String> values) {
        mValues = new EnumMap<>(values);
    }

    /**
     * Parses and validates all settings of the daemon.
     *
     * @param arguments command-line arguments
     * @param environment environment variables
     * @return the settings, or all problems found
     */
    public static Either<List<SettingProblem>, Settings> parse(
            String[] arguments, Map<String, String> environment) {
        return parse(Program.DAEMON, arguments, environment);
    }

    /**
     * Parses and validates all settings of an executable.
     *
     * @param program the executable
     * @param arguments command-line arguments
     * @param environment environment variables
     * @return the settings, or all problems found
     */
    public static Either<List<SettingProblem>, Settings> parse(
            Program program, String[] arguments, Map<String, String> environment) {
        OptionSet options;
        try {
            options = createParser(program).parse(arguments);
        } catch (OptionException e) {
            return Either.left(List.of(unknownFlag(e)));
        }
        List<SettingProblem> problems = new ArrayList<>();
        for (Object argument : options.nonOptionArguments()) {
            problems.add(
                    new SettingProblem(
                            "\"" + argument + "\"",
                            "not a flag",
                            "flags only",
                            "place each value after its flag; see --help"));
        }
        Map<Setting, String> values = new EnumMap<>(Setting.class);
        for (Setting setting : settingsOf(program)) {
            readSetting(setting, options, environment, values, problems);
        }
        checkCombinations(values, problems);
        return problems.isEmpty() ? Either.right(new Settings(values)) : Either.left(problems);
    }

    /** Returns a parser of the flags of an executable. */
    static OptionParser createParser(Program program) {
        OptionParser parser = new OptionParser(false);
        for (Setting setting : settingsOf(program)) {
            parser.accepts(setting.flag(), setting.description()).withRequiredArg();
        }
        return parser;
    }

    private static List<Setting> settingsOf(Program program) {
        return Arrays.stream(Setting.values()).filter(s -> s.belongsTo(program)).toList();
    }

    /** Returns the help text of an executable, with one line per setting. */
    public static String help(Program program) {
        StringBuilder out = new StringBuilder();
        for (Setting setting : settingsOf(program)) {
            String defaultValue = setting.defaultValue();
            String requirement =
                    defaultValue == null
                            ? "required"
                            : defaultValue.isEmpty() ? "optional" : "default " + defaultValue;
            out.append(
                    String.format(
                            "  --%-24s %s (%s; %s; or %s)%n",
                            setting.flag(),
                            setting.description(),
                            setting.expectedFormat(),
                            requirement,
                            setting.environmentVariable()));
        }
        return out.toString();
    }

    private static SettingProblem unknownFlag(OptionException e) {
        return new SettingProblem(
                String.join(", ", e.options()),
                "invalid (" + e.getMessage() + ")",
                "a known flag with its value",
                "see --help");
    }

    private static void readSetting(
            Setting setting,
            OptionSet options,
            Map<String, String> environment,
            Map<Setting, String> values,
            List<SettingProblem> problems) {
        List<?> flagValues = options.valuesOf(setting.flag());
        String source = "--" + setting.flag();
        String value =
                flagValues.isEmpty() ? null : String.valueOf(flagValues.get(flagValues.size() - 1));
        if (value == null && environment.containsKey(setting.environmentVariable())) {
            source = setting.environmentVariable();
            value = environment.get(setting.environmentVariable());
        }
        if (value == null) {
            value = setting.defaultValue();
            if (value == null) {
                problems.add(missingSetting(setting));
                return;
            }
            values.put(setting, value);
            return;
        }
        if (!setting.accepts(value)) {
            String shown = setting.isSecret() ? HIDDEN : "\"" + value + "\"";
            problems.add(
                    new SettingProblem(
                            source,
                            shown,
                            setting.expectedFormat(),
                            "correct the value: " + setting.description()));
            return;
        }
        values.put(setting, value);
    }

    private static SettingProblem missingSetting(Setting setting) {
        return new SettingProblem(
                "--" + setting.flag(),
                "not set",
                setting.expectedFormat(),
                "use the flag or set "
                        + setting.environmentVariable()
                        + ": "
                        + setting.description());
    }

    private static void checkCombinations(
            Map<Setting, String> values, List<SettingProblem> problems) {
        String certificate = values.getOrDefault(Setting.TLS_CERTIFICATE, "");
        String key = values.getOrDefault(Setting.TLS_KEY, "");
        if (certificate.isEmpty() != key.isEmpty()) {
            Setting missing = certificate.isEmpty() ? Setting.TLS_CERTIFICATE : Setting.TLS_KEY;
            problems.add(
                    new SettingProblem(
                            "--" + missing.flag(),
                            "not set",
                            missing.expectedFormat(),
                            "set both the certificate and its key, or neither"));
        }
        Set<Setting> ports =
                EnumSet.of(
                        Setting.CALLER_PORT,
                        Setting.PEER_PORT,
                        Setting.OPERATOR_PORT,
                        Setting.ADMIN_PORT);
        List<String> usedPorts = new ArrayList<>();
        for (Setting port : ports) {
            String value = values.get(port);
            if (value != null && usedPorts.contains(value)) {
                problems.add(
                        new SettingProblem(
                                "--" + port.flag(),
                                "\"" + value + "\"",
                                "a port that no other setting uses",
                                "choose another port"));
            }
            usedPorts.add(value);
        }
    }

    /**
     * Returns these settings with the values of newer ones that a running process takes over.
     *
     * @param newer settings that were read later
     */
    public Settings reloadFrom(Settings newer) {
        Map<Setting, String> values = new EnumMap<>(mValues);
        newer.mValues.forEach(
                (setting, value) -> {
                    if (setting.isReloadable()) {
                        values.put(setting, value);
                    }
                });
        return new Settings(values);
    }

    /**
     * Returns the settings whose values differ.
     *
     * @param other settings of the same executable
     */
    public Set<Setting> differencesFrom(Settings other) {
        Set<Setting> different = EnumSet.noneOf(Setting.class);
        for (Setting setting : mValues.keySet()) {
            if (!mValues.get(setting).equals(other.mValues.get(setting))) {
                different.add(setting);
            }
        }
        return different;
    }

    /** Returns the value of a setting as text. */
    public String text(Setting setting) {
        return mValues.get(setting);
    }

    /** Returns the value of a setting as an integer. */
    public long number(Setting setting) {
        return Long.parseLong(mValues.get(setting));
    }

    /** Returns the value of a setting as a decimal number. */
    public double decimal(Setting setting) {
        return Double.parseDouble(mValues.get(setting));
    }

    /** Returns the value of a setting as a host and port. */
    public InetSocketAddress endpoint(Setting setting) {
        String value = mValues.get(setting);
        int colon = value.lastIndexOf(':');
        return new InetSocketAddress(
                value.substring(0, colon), Integer.parseInt(value.substring(colon + 1)));
    }

    /** Returns the value of a setting as a port number. */
    public int port(Setting setting) {
        return Integer.parseInt(mValues.get(setting));
    }

    /** Returns the value of a port setting, or of another one if the first is empty. */
    public int portOr(Setting setting, Setting fallback) {
        return mValues.get(setting).isEmpty() ? port(fallback) : port(setting);
    }

    /** Returns the identity of the VM. */
    public VmId vm() {
        return new VmId(mValues.get(Setting.VM_ID));
    }

    /** Returns the zone of the VM. */
    public Zone zone() {
        return new Zone(mValues.get(Setting.ZONE));
    }

    /** Returns the minimum level of log lines. */
    public LogLevel logLevel() {
        return LogLevel.fromName(mValues.get(Setting.LOG_LEVEL)).orElse(LogLevel.INFO);
    }

    @Override
    public String toString() {
        StringBuilder out = new StringBuilder("Settings");
        mValues.forEach(
                (setting, value) ->
                        out.append(' ')
                                .append(setting.flag())
                                .append('=')
                                .append(setting.isSecret() ? HIDDEN : value));
        return out.toString();
    }
}
