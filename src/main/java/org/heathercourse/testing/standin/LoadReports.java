package org.heathercourse.testing.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import org.heathercourse.core.time.Ticker;

/** Load reports that are shown some time after they were made. Used by one event loop only. */
final class LoadReports {
    private static final int KEPT = 200;

    private final Ticker mTicker;
    private final FaultSwitches mFaults;
    private final long mLagMillis;
    private final Deque<Report> mReports = new ArrayDeque<>();

    /** A report and its time. */
    private record Report(long atMillis, ObjectNode load) {}

    LoadReports(Ticker ticker, FaultSwitches faults, long lagMillis) {
        mTicker = ticker;
        mFaults = faults;
        mLagMillis = lagMillis;
    }

    void add(ObjectNode load) {
        mReports.add(new Report(mTicker.readMillis(), load));
        if (mReports.size() > KEPT) {
            mReports.removeFirst();
        }
    }

    /** Returns the newest report that is at least as old as the lag, or else the oldest one. */
    ObjectNode read() {
        long now = mTicker.readMillis();
        long lagMillis = (long) mFaults.peek(Fault.LAG_MS).orElse(mLagMillis);
        Report shown = mReports.getFirst();
        for (Report report : mReports) {
            if (now - report.atMillis() < lagMillis) {
                break;
            }
            shown = report;
        }
        ObjectNode load = shown.load().deepCopy();
        load.put("age_ms", now - shown.atMillis());
        return load;
    }
}
