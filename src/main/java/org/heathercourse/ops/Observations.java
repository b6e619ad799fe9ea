package org.heathercourse.ops;

import java.util.List;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.daemon.config.ConfigSource;
import org.heathercourse.ops.v1.ExplainResponse;
import org.heathercourse.ops.v1.GetBurnResponse;
import org.heathercourse.ops.v1.GetStatusResponse;
import org.heathercourse.ops.v1.ProgramStatus;

/** Runtime state of a daemon in the operator schema. Implementations are thread-safe. */
public interface Observations {
    /** Returns the daemons that this daemon considers live. */
    List<DaemonInfo> daemons();

    /**
     * Returns the status of this daemon, and of daemons and targets as it observes them.
     *
     * @param config source of the configuration in force at this daemon
     * @return the status
     */
    GetStatusResponse status(ConfigSource config);

    /**
     * Lists programs that this daemon owns.
     *
     * @param limit maximum number of programs to list
     * @return the programs
     */
    List<ProgramStatus> programs(int limit);

    /** Returns the calls that this daemon has counted against the objectives. */
    GetBurnResponse burn();

    /**
     * Returns the latest scheduling decisions of this daemon on the calls of a program.
     *
     * @param program identity of the program
     * @param limit maximum number of decisions to return
     * @return the decisions
     */
    ExplainResponse explain(String program, int limit);

    /**
     * Cancels a program at the daemon that owns it.
     *
     * @param program identity of the program
     * @throws org.heathercourse.core.error.HeathercourseException of kind {@code UNKNOWN_PROGRAM}
     *     if there is no such program
     */
    void cancel(String program);
}
