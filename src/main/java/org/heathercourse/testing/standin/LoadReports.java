package org.heathercourse.testing.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import org.heathercourse.core.time.Ticker;

/** Load reports that become visible with a lag. Confined to one event loop. */
final class LoadReports {
    private static final int MAX_REPORTS = 200;

    private final Ticker mTicker;
    private final FaultSwitches mFaults;
    private final long mLagMillis;
    private final Deque<Report> mReports = new ArrayDeque<>();

    /** A load report and the time at which it was made. */
    private record Report(long atMillis, ObjectNode load) {}

    LoadReports(Ticker ticker, FaultSwitches faults, long lagMillis) {
        mTicker = ticker;
        mFaults = faults;
        mLagMillis = lagMillis;
    }

    void add(ObjectNode load) {
        mReports.add(new Report(mTicker.readMillis(), load));
        if (mReports.size() > MAX_REPORTS) {
            mReports.removeFirst();
        }
    }

    /** Returns the newest report whose age has reached the lag, or the oldest if there is none. */
    ObjectNode visibleReport() {
        long nowMillis = mTicker.readMillis();
        long lagMillis = (long) mFaults.peek(Fault.LAG_MS).orElse(mLagMillis);
        Report visible = mReports.getFirst();
        for (Report report : mReports) {
            if (nowMillis - report.atMillis() < lagMillis) {
                break;
            }
            visible = report;
        }
        ObjectNode load = visible.load().deepCopy();
        load.put("age_ms", nowMillis - visible.atMillis());
        return load;
    }
}
