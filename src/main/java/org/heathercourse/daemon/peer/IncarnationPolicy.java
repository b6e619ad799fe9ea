package org.heathercourse.daemon.peer;

/** Decides which incarnations of a peer a link may lead to. */
public enum IncarnationPolicy {
    /** Only the expected process, because another one lacks its state. */
    SAME {
        @Override
        boolean accepts(long expected, long actual) {
            return actual == expected;
        }

        @Override
        long linkIncarnation(long incarnation) {
            return incarnation;
        }
    },
    /**
     * Also a process that was started later on the same VM. For peers whose requests depend on the
     * VM only, so that they are served as soon as the VM has restarted, and not only when its new
     * incarnation is known.
     */
    SAME_OR_NEWER {
        @Override
        boolean accepts(long expected, long actual) {
            return actual >= expected;
        }

        @Override
        long linkIncarnation(long incarnation) {
            return 0;
        }
    };

    /**
     * Returns whether a link may lead to a process.
     *
     * @param expected incarnation that the sender knows
     * @param actual incarnation of the process that answered
     */
    abstract boolean accepts(long expected, long actual);

    /** Returns the incarnation by which links are told apart; 0 if all share one link. */
    abstract long linkIncarnation(long incarnation);
}
