package org.heathercourse.daemon.config;

import java.util.List;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;

/**
 * Reports that another change was accepted after the revision that a change is based on. Immutable.
 */
public final class ConfigConflictException extends HeathercourseException {
    private static final long serialVersionUID = 1L;

    private final long mCurrentRevision;
    private final transient List<String> mAcceptedChanges;
    private final transient List<String> mRejectedChanges;

    /**
     * Creates an exception.
     *
     * @param expectedRevision revision that the change was based on
     * @param currentRevision latest revision in the store
     * @param acceptedChanges differences between the base revision and the current configuration
     * @param rejectedChanges differences between the base revision and the rejected change
     */
    public ConfigConflictException(
            long expectedRevision,
            long currentRevision,
            List<String> acceptedChanges,
            List<String> rejectedChanges) {
        super(
                builder(ErrorKind.CONFLICT)
                        .message(
                                "configuration has revision "
                                        + currentRevision
                                        + ", expected "
                                        + expectedRevision
                                        + "; accepted since then: "
                                        + acceptedChanges
                                        + "; not accepted: "
                                        + rejectedChanges)
                        .remedy("read the current configuration and apply the change to it"));
        mCurrentRevision = currentRevision;
        mAcceptedChanges = List.copyOf(acceptedChanges);
        mRejectedChanges = List.copyOf(rejectedChanges);
    }

    /** Returns the latest revision in the store. */
    public long currentRevision() {
        return mCurrentRevision;
    }

    /**
     * Returns the differences that were accepted since the base revision of the rejected change.
     */
    public List<String> acceptedChanges() {
        return mAcceptedChanges;
    }

    /** Returns the differences that the rejected change would have made to its base revision. */
    public List<String> rejectedChanges() {
        return mRejectedChanges;
    }
}
