package org.heathercourse.daemon.settings;

import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;

/**
 * Settings of the daemon and the gateway.
 *
 * <p>Each is set by a flag such as {@code --vm-id}, or by an environment variable such as {@code
 * HEATHERCOURSE_VM_ID}; the flag takes precedence. A setting with the default null is required, one
 * with an empty default is optional.
 */
public enum Setting {
    VM_ID(ValueType.NAME, null, "identity of the VM that this process runs on", Program.SERVERS),
    ZONE(ValueType.NAME, null, "zone (data centre) of the VM", Program.SERVERS),
    HOST(ValueType.IP_ADDRESS, null, "address of the VM for callers and other daemons"),
    CALLER_PORT(ValueType.PORT, "8080", "port for callers"),
    PEER_PORT(ValueType.PORT, "8081", "port for other daemons"),
    OPERATOR_PORT(ValueType.PORT, "8082", "port for operators (gRPC)"),
    ADMIN_PORT(ValueType.PORT, "8083", "port for health and metrics"),
    ADVERTISED_CALLER_PORT(
            ValueType.PORT, "", "port at which callers reach the caller port, if it differs"),
    ADVERTISED_PEER_PORT(
            ValueType.PORT, "", "port at which daemons reach the peer port, if it differs"),
    TABLE_URL(ValueType.HTTP_URL, null, "address of the platform's table service"),
    OBJECTS_URL(ValueType.HTTP_URL, null, "address of the platform's object store"),
    VM_LIST_URL(ValueType.HTTP_URL, null, "address of the platform's VM list"),
    WEIGHTS_URL(ValueType.HTTP_URL, null, "address of the platform's weight store"),
    PEER_SECRET(ValueType.SECRET, null, "secret shared by all daemons of a deployment"),
    OPERATOR_TOKEN(ValueType.SECRET, null, "credential of operators"),
    TLS_CERTIFICATE(
            ValueType.READABLE_FILE, "", "certificate chain (PEM) for callers and operators"),
    TLS_KEY(ValueType.READABLE_FILE, "", "private key (PEM, PKCS 8) for the certificate"),
    STORE_TIMEOUT_MS(ValueType.MILLIS, "2000", "timeout of one request to the store"),
    MAX_BODY_BYTES(ValueType.BYTES, "8388608", "maximum size of a caller's request body"),
    DRAIN_TIMEOUT_SECONDS(
            ValueType.SECONDS, "120", "maximum time that a shutdown waits for running calls"),
    IDLE_PROGRAM_SECONDS(
            ValueType.SECONDS, "1800", "time without a call after which a program ends"),
    CALLER_ADDRESS(ValueType.ENDPOINT, null, "address for callers", Program.ONLY_GATEWAY),
    READINESS_ADDRESS(
            ValueType.ENDPOINT, null, "address for readiness checks", Program.ONLY_GATEWAY),
    DIRECTORY_ADDRESS(
            ValueType.ENDPOINT, null, "address for directory lookups", Program.ONLY_GATEWAY),
    PEER_ADDRESS(ValueType.ENDPOINT, null, "address for other gateways", Program.ONLY_GATEWAY),
    METRICS_ADDRESS(ValueType.ENDPOINT, null, "address for metrics", Program.ONLY_GATEWAY),
    STORE_ADDRESS(ValueType.ENDPOINT, null, "address of the store", Program.STORE_CLIENTS),
    PLATFORM(ValueType.NAME, null, "platform that the gateway runs on", Program.STORE_CLIENTS),
    KEY_WITHDRAWAL_MS(
            ValueType.DECIMAL,
            "5000",
            "maximum time for which a withdrawn key may still be accepted",
            Program.ONLY_GATEWAY),
    STOP_GRACE_SECONDS(
            ValueType.DECIMAL,
            "8",
            "time from the stop signal until the process is killed",
            Program.ONLY_GATEWAY),
    ADDRESS_KEEP_SECONDS(
            ValueType.DECIMAL,
            "2",
            "time for which callers may keep the addresses that they received",
            Program.ONLY_GATEWAY),
    MAX_BUFFER_BYTES(
            ValueType.BYTES,
            "33554432",
            "maximum sum of the bytes kept for callers and targets; at most half of the heap",
            Program.ONLY_GATEWAY),
    PROCESSOR_SHARE(
            ValueType.DECIMAL,
            "0",
            "fraction of each core that the VM has; 0 if unknown",
            Program.ONLY_GATEWAY),
    PROCESSOR_CORES(
            ValueType.DECIMAL,
            "1",
            "cores of the VM, or their speed relative to one core",
            Program.ONLY_GATEWAY),
    MAX_HISTORY_BYTES(
            ValueType.BYTES,
            "8388608",
            "maximum size of a turn's history together with its own input",
            Program.ONLY_GATEWAY),
    ZONES(
            ValueType.TEXT,
            "",
            "table of the platform with the region of each zone; without it, regions bind nothing",
            Program.ONLY_GATEWAY),
    LOAD_SHARING(
            ValueType.SWITCH,
            "auto",
            "whether gateways share the load of targets; auto: if a route retains histories",
            Program.ONLY_GATEWAY),
    LOG_LEVEL(ValueType.LOG_LEVEL, "info", "minimum level of log lines", Program.SERVERS);

    private static final String ENVIRONMENT_PREFIX = "HEATHERCOURSE_";

    private final ValueType mType;
    private final String mDefault;
    private final String mDescription;
    private final Set<Program> mPrograms;

    Setting(ValueType type, String defaultValue, String description) {
        this(type, defaultValue, description, EnumSet.of(Program.DAEMON));
    }

    Setting(ValueType type, String defaultValue, String description, Set<Program> programs) {
        mPrograms = programs;
        mType = type;
        mDefault = defaultValue;
        mDescription = description;
    }

    /** Returns the name of the flag without leading dashes. */
    public String flag() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the name of the environment variable. */
    public String environmentVariable() {
        return ENVIRONMENT_PREFIX + name();
    }

    /**
     * Returns whether a running gateway takes over a changed value when it reads its settings
     * again; otherwise the change needs a restart. The daemon does not read its settings again.
     */
    public boolean isReloadable() {
        return switch (this) {
            case KEY_WITHDRAWAL_MS, STOP_GRACE_SECONDS, ADDRESS_KEEP_SECONDS, LOG_LEVEL -> true;
            default -> false;
        };
    }

    /** Returns whether an executable has this setting. */
    public boolean belongsTo(Program program) {
        return mPrograms.contains(program);
    }

    /** Returns a description of the setting for the help text. */
    public String description() {
        return mDescription;
    }

    /** Returns the default value; null if the setting is required, empty if it is optional. */
    public String defaultValue() {
        return mDefault;
    }

    /** Returns a description of the valid values. */
    public String expectedFormat() {
        return mType.expectedFormat();
    }

    /** Returns whether the value must not appear in logs and messages. */
    public boolean isSecret() {
        return mType == ValueType.SECRET;
    }

    boolean accepts(String value) {
        return mType.accepts(value);
    }
}
