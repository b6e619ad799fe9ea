package org.heathercourse.core.crash;

import java.util.ArrayList;
import java.util.List;

/**
 * The longest sequence of crashes in which the run of each began after the crash before it. Its
 * length is the number of independent events in which a request was involved.
 */
final class CrashChain {
    private CrashChain() {}

    /**
     * Returns the longest chain, in the order of time.
     *
     * @param crashes crashes in their natural order
     */
    static List<Crash> longest(List<Crash> crashes) {
        List<List<Crash>> chains = new ArrayList<>();
        List<Crash> longest = List.of();
        for (Crash crash : crashes) {
            List<Crash> chain = new ArrayList<>(longestBefore(crash, chains));
            chain.add(crash);
            chains.add(chain);
            if (chain.size() > longest.size()) {
                longest = chain;
            }
        }
        return longest;
    }

    /** Returns the longest chain that a crash can extend; empty if there is none. */
    private static List<Crash> longestBefore(Crash crash, List<List<Crash>> chains) {
        List<Crash> longest = List.of();
        for (List<Crash> chain : chains) {
            if (chain.size() > longest.size() && crash.beganAfter(chain.get(chain.size() - 1))) {
                longest = chain;
            }
        }
        return longest;
    }
}
