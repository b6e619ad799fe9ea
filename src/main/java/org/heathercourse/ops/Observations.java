package org.heathercourse.ops;

import java.util.List;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.daemon.config.ConfigSource;
import org.heathercourse.ops.v1.ExplainResponse;
import org.heathercourse.ops.v1.GetBurnResponse;
import org.heathercourse.ops.v1.GetStatusResponse;
import org.heathercourse.ops.v1.ProgramStatus;

/** What a daemon observes, in the terms of the operator schema. Implementations are thread-safe. */
public interface Observations {
    /** Returns the daemons that are believed alive. */
    List<DaemonInfo> daemons();

    /**
     * Returns what this daemon observes.
     *
     * @param config the configuration in force here
     * @return the status
     */
    GetStatusResponse status(ConfigSource config);

    /**
     * Lists programs that this daemon owns.
     *
     * @param limit most programs to list
     * @return the programs
     */
    List<ProgramStatus> programs(int limit);

    /** Returns the calls that this daemon counted against the objectives. */
    GetBurnResponse burn();

    /**
     * Returns the last decisions of this daemon on the calls of a program.
     *
     * @param program identity of the program
     * @param limit most decisions to return
     * @return the decisions
     */
    ExplainResponse explain(String program, int limit);

    /**
     * Ends a program, at whichever daemon owns it.
     *
     * @param program identity of the program
     * @throws org.heathercourse.core.error.HeathercourseException of kind {@code UNKNOWN_PROGRAM}
     *     if there is no such program
     */
    void cancel(String program);
}
