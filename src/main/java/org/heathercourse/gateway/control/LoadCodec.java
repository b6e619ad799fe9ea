package org.heathercourse.gateway.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.heathercourse.core.load.LoadBoard;
import org.heathercourse.core.load.TargetWork;
import org.heathercourse.daemon.peer.PeerMessage.LoadReply;
import org.heathercourse.daemon.peer.PeerMessage.LoadReport;

/** Converts work at targets to the compact form of the messages and back. Stateless. */
final class LoadCodec {
    private static final int VALUES_PER_TARGET = 5;

    private LoadCodec() {}

    static LoadReport report(
            String from, long incarnation, boolean zoneSum, Map<String, TargetWork> work) {
        List<String> targets = new ArrayList<>(work.keySet());
        return new LoadReport(from, incarnation, zoneSum, targets, values(targets, work));
    }

    static LoadReply reply(LoadBoard.Sum sum) {
        List<String> targets = new ArrayList<>(sum.work().keySet());
        return new LoadReply(
                targets, values(targets, sum.work()), sum.ageMillis(), sum.collectingMillis());
    }

    private static long[] values(List<String> targets, Map<String, TargetWork> works) {
        long[] values = new long[targets.size() * VALUES_PER_TARGET];
        int i = 0;
        for (String target : targets) {
            TargetWork work = works.get(target);
            values[i++] = work.requests();
            values[i++] = work.promptTokens();
            values[i++] = work.outputTokens();
            values[i++] = work.expectedMillis();
            values[i++] = work.runMillis();
        }
        return values;
    }

    /** Decodes work; targets without all of their values are left out. */
    static Map<String, TargetWork> work(List<String> targets, long[] values) {
        Map<String, TargetWork> work = new HashMap<>();
        if (targets == null || values == null) {
            return work;
        }
        int count = Math.min(targets.size(), values.length / VALUES_PER_TARGET);
        for (int target = 0; target < count; target++) {
            int i = target * VALUES_PER_TARGET;
            work.put(
                    targets.get(target),
                    new TargetWork(
                            values[i], values[i + 1], values[i + 2], values[i + 3], values[i + 4]));
        }
        return work;
    }
}
