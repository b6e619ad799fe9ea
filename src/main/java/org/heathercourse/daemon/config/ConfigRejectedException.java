package org.heathercourse.daemon.config;

import java.util.List;
import java.util.stream.Collectors;
import org.heathercourse.core.config.ConfigProblem;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;

/** A proposed configuration has faults. Immutable. */
public final class ConfigRejectedException extends HeathercourseException {
    private static final long serialVersionUID = 1L;

    private final transient List<ConfigProblem> mProblems;

    /**
     * Creates an exception.
     *
     * @param problems the faults, at least one
     */
    public ConfigRejectedException(List<ConfigProblem> problems) {
        super(
                builder(ErrorKind.BAD_REQUEST)
                        .message(
                                "configuration rejected: "
                                        + problems.stream()
                                                .map(ConfigProblem::toString)
                                                .collect(Collectors.joining("\n")))
                        .remedy(problems.get(0).kind().remedy()));
        mProblems = List.copyOf(problems);
    }

    /** Returns the faults. */
    public List<ConfigProblem> problems() {
        return mProblems;
    }
}
