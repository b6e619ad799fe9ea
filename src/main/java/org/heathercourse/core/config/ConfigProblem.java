package org.heathercourse.core.config;

/**
 * A fault found in a configuration. Immutable.
 *
 * @param kind kind of the fault
 * @param path path of the field, for instance {@code workspaces[mill].burst}
 * @param met what was met; never a secret
 * @param expected what was expected
 */
public record ConfigProblem(Kind kind, String path, String met, String expected) {
    /** Kinds of faults, with what an operator can do about them. */
    public enum Kind {
        DUPLICATE("give each item its own identity"),
        UNKNOWN_REFERENCE("declare the item first or correct the reference"),
        OUT_OF_RANGE("correct the value"),
        MALFORMED("correct the value"),
        MISSING("add the missing item"),
        IMMUTABLE("keep the previous value"),
        LAST_TARGET("bring another target of the service up first or withdraw the service");

        private final String mRemedy;

        Kind(String remedy) {
            mRemedy = remedy;
        }

        /** Returns what an operator can do about faults of this kind. */
        public String remedy() {
            return mRemedy;
        }
    }

    @Override
    public String toString() {
        return path + " is " + met + ", expected " + expected + "; " + kind.remedy();
    }
}
