package org.heathercourse.platform.hosted;

/** Names of headers, paths and tables of this platform. */
final class WireNames {
    // Headers of callers

    static final String REQUEST_ID = "X-Heathercourse-Request-Id";

    /** The key alone, without an authentication scheme. */
    static final String KEY = "Api-Key";

    /** Time left for the request in milliseconds; a duration, not a timestamp. */
    static final String DEADLINE = "X-Heathercourse-Request-Deadline";

    static final String PROGRAM = "X-Heathercourse-Program-Id";

    /** Time left for the whole program in milliseconds; a duration, not a timestamp. */
    static final String PROGRAM_DEADLINE = "X-Heathercourse-Program-Deadline";

    static final String BUDGET = "X-Heathercourse-Token-Budget";

    /**
     * Estimated prompt tokens and maximum output tokens, separated by a comma; not a count of used
     * tokens.
     */
    static final String TOKENS = "X-Heathercourse-Token-Usage";

    static final String LAST_EVENT = "Last-Event-Id";

    /** Request id of the turn that a turn continues. */
    static final String PREVIOUS_TURN = "X-Heathercourse-Previous-Turn";

    /** Name of a cookie, not of a header. */
    static final String AFFINITY_COOKIE = "X-Heathercourse-Affinity-Key";

    // Headers that only gateways set

    static final String WORKSPACE = "X-Heathercourse-Tenant";
    static final String EXPECTED_TARGET = "X-Heathercourse-Expected-Instance";
    static final String PRIORITY = "X-Heathercourse-Request-Priority";

    /** Headers besides the key that are removed from callers' requests. */
    static final String[] RESERVED = {
        WORKSPACE,
        EXPECTED_TARGET,
        PRIORITY,
        "X-Heathercourse-Hold",
        "X-Heathercourse-Pin-Duration",
        "X-Heathercourse-Kv-Backup",
        "Kv-From",
        "Kv-Fetch"
    };

    // Headers of targets

    /** Only responses of targets have this header. */
    static final String SIGNATURE = "X-Heathercourse-Response-Signature";

    /** A target that leaves has this header, with the value 1, in all its responses. */
    static final String LEAVING = "Server-Leaving";

    /** Time for which a target is cold, in milliseconds. */
    static final String COLD_REMAINING = "X-Heathercourse-Cold-Start-Remaining";

    static final String NOT_RUN = "X-Heathercourse-Not-Executed";

    // Paths

    static final String ADDRESS_PATH = "/api/resolve";
    static final String READINESS_PATH = "/api/readiness";
    static final String COMMIT_PATH = "/api/rows-tx";
    static final String READ_PATH = "/api/rows-get";
    static final String CHANGES_PATH = "/api/rows-feed";

    // Tables

    static final String OPERATOR_TABLE = "op";
    static final String CONFIGURATION_KEY = "config";

    /** Start of the keys of rows that evacuate a zone; the name of the zone follows. */
    static final String EVACUATION_PREFIX = "evacuate/";

    static final String TARGET_TABLE = "servers";

    private WireNames() {}
}
