package org.heathercourse.daemon.config;

import java.util.List;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;

/** Another change was accepted first. Immutable. */
public final class ConfigConflictException extends HeathercourseException {
    private static final long serialVersionUID = 1L;

    private final long mCurrentRevision;
    private final transient List<String> mAcceptedChanges;
    private final transient List<String> mRejectedChanges;

    /**
     * Creates an exception.
     *
     * @param expectedRevision revision that the change was based on
     * @param currentRevision revision that is present
     * @param acceptedChanges differences between the base of the change and the present
     *     configuration
     * @param rejectedChanges differences between the base of the change and the change
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
                                        + "; accepted meanwhile: "
                                        + acceptedChanges
                                        + "; not accepted: "
                                        + rejectedChanges)
                        .remedy("read the present configuration and repeat the change on it"));
        mCurrentRevision = currentRevision;
        mAcceptedChanges = List.copyOf(acceptedChanges);
        mRejectedChanges = List.copyOf(rejectedChanges);
    }

    /** Returns the revision that is present. */
    public long currentRevision() {
        return mCurrentRevision;
    }

    /** Returns what was accepted since the base of the refused change. */
    public List<String> acceptedChanges() {
        return mAcceptedChanges;
    }

    /** Returns what the refused change would have changed. */
    public List<String> rejectedChanges() {
        return mRejectedChanges;
    }
}
