package org.heathercourse.daemon.config;

import java.util.List;
import java.util.stream.Collectors;
import org.heathercourse.core.config.ConfigProblem;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;

/** Reports that a proposed configuration is invalid. Immutable. */
public final class ConfigRejectedException extends HeathercourseException {
    private static final long serialVersionUID = 1L;

    private final transient List<ConfigProblem> mProblems;

    /**
     * Creates an exception.
     *
     * @param problems problems found by the validation, at least one
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

    /** Returns the problems found by the validation. */
    public List<ConfigProblem> problems() {
        return mProblems;
    }
}
