package org.heathercourse.daemon.settings;

import java.util.EnumSet;
import java.util.Set;

/** Executables that have settings. */
public enum Program {
    /** The daemon, which owns shards with their programs and call history. */
    DAEMON,
    /** The gateway, which forwards requests and stores nothing. */
    GATEWAY,
    /** A command of an operator that reads and writes the store of a hosted platform. */
    STORE_COMMAND;

    static final Set<Program> SERVERS = EnumSet.of(DAEMON, GATEWAY);
    static final Set<Program> ONLY_GATEWAY = EnumSet.of(GATEWAY);
    static final Set<Program> STORE_CLIENTS = EnumSet.of(GATEWAY, STORE_COMMAND);
}
