package org.heathercourse.daemon.config;

import java.util.List;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;

/** Another change was accepted first. Immutable. */
public final class ConfigConflictException extends HeathercourseException {
    private static final long serialVersionUID = 1L;

    private final long mPresentRevision;
    private final transient List<String> mTheirs;
    private final transient List<String> mYours;

    /**
     * Creates an exception.
     *
     * @param expectedRevision revision that the change was based on
     * @param presentRevision revision that is present
     * @param theirs differences between the base of the change and the present configuration
     * @param yours differences between the base of the change and the change
     */
    public ConfigConflictException(
            long expectedRevision, long presentRevision, List<String> theirs, List<String> yours) {
        super(
                builder(ErrorKind.CONFLICT)
                        .message(
                                "configuration has revision "
                                        + presentRevision
                                        + ", expected "
                                        + expectedRevision
                                        + "; accepted meanwhile: "
                                        + theirs
                                        + "; not accepted: "
                                        + yours)
                        .remedy("read the present configuration and repeat the change on it"));
        mPresentRevision = presentRevision;
        mTheirs = List.copyOf(theirs);
        mYours = List.copyOf(yours);
    }

    /** Returns the revision that is present. */
    public long presentRevision() {
        return mPresentRevision;
    }

    /** Returns what was accepted since the base of the refused change. */
    public List<String> theirs() {
        return mTheirs;
    }

    /** Returns what the refused change would have changed. */
    public List<String> yours() {
        return mYours;
    }
}
