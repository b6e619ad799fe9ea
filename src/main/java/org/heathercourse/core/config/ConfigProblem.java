package org.heathercourse.core.config;

/**
 * A problem found in a configuration by its validation. Immutable.
 *
 * @param kind kind of the problem
 * @param path path of the field, for instance {@code workspaces[mill].burst}
 * @param met value that was found; never a secret
 * @param expected description of the expected value
 */
public record ConfigProblem(Kind kind, String path, String met, String expected) {
    /** Kinds of problems, each with its remedy. */
    public enum Kind {
        DUPLICATE("give each item its own identity"),
        UNKNOWN_REFERENCE("declare the item first or correct the reference"),
        OUT_OF_RANGE("correct the value"),
        MALFORMED("correct the value"),
        MISSING("add the missing item"),
        IMMUTABLE("keep the previous value"),
        LAST_TARGET("declare another target of the service as up first, or remove the service");

        private final String mRemedy;

        Kind(String remedy) {
            mRemedy = remedy;
        }

        /** Returns the action with which an operator can correct a problem of this kind. */
        public String remedy() {
            return mRemedy;
        }
    }

    @Override
    public String toString() {
        return path + " is " + met + ", expected " + expected + "; " + kind.remedy();
    }
}
