package org.heathercourse.daemon.settings;

import java.util.EnumSet;
import java.util.Set;

/** Executables that have settings. */
public enum Program {
    /** The daemon, which owns shards with their programs and call history. */
    DAEMON,
    /** The gateway, which forwards requests and stores nothing. */
    GATEWAY;

    static final Set<Program> ALL = EnumSet.allOf(Program.class);
    static final Set<Program> ONLY_GATEWAY = EnumSet.of(GATEWAY);
}
