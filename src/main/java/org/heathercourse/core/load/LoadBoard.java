package org.heathercourse.core.load;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.heathercourse.core.time.SuspendAwareClock;
import org.heathercourse.core.time.SuspendAwareClock.Timestamp;

/**
 * Sum of the work that gateways reported to the load owner of a zone.
 *
 * <p>The sum is updated with each report, because at 400 gateways computing it for each reply would
 * cost a large part of a core. Reports of other zones' owners count for the gateways of this zone
 * but not for {@link #zoneSum}, so that no work returns to the zone that it came from. Not
 * thread-safe.
 */
public final class LoadBoard {
    /** Time in milliseconds after which a report no longer counts. */
    public static final long EXPIRY_MILLIS = 2_000;

    /** Time in milliseconds between two searches for expired reports. */
    private static final long EXPIRY_CHECK_MILLIS = 100;

    private final SuspendAwareClock mClock;
    private final Map<String, Report> mReports = new HashMap<>();
    private final Map<String, TargetWork> mZoneTotals = new HashMap<>();
    private final Map<String, TargetWork> mForeignTotals = new HashMap<>();
    private Timestamp mBegunTimestamp;
    private Timestamp mLastReportTimestamp;
    private Timestamp mCheckedTimestamp;
    private long mMeanAgeMillis;

    /** Who reports. */
    public enum Source {
        /** A gateway of the owner's zone. */
        GATEWAY,
        /** The load owner of another zone. */
        ZONE
    }

    private record Report(
            Source source, long incarnation, Map<String, TargetWork> work, Timestamp received) {}

    /**
     * Work of several gateways.
     *
     * @param work work by incarnation of the target
     * @param ageMillis mean age of the reports in it, in milliseconds
     * @param collectingMillis time since the owner began to collect reports, in milliseconds; a sum
     *     of an owner that has just begun lacks most gateways
     */
    public record Sum(Map<String, TargetWork> work, long ageMillis, long collectingMillis) {}

    /**
     * Creates an empty board.
     *
     * @param clock measures the age of reports, including the time in which the VM was suspended
     */
    public LoadBoard(SuspendAwareClock clock) {
        mClock = clock;
    }

    /**
     * Records a report, which replaces the last one of its reporter.
     *
     * @param source kind of reporter
     * @param reporter name of the reporter: its VM or zone
     * @param incarnation incarnation of its process; older ones than known are ignored
     * @param work work by incarnation of the target; invalid entries are left out
     */
    public void record(
            Source source, String reporter, long incarnation, Map<String, TargetWork> work) {
        expire();
        String key = source + "/" + reporter;
        Report last = mReports.get(key);
        if (last != null && last.incarnation() > incarnation) {
            return;
        }
        Timestamp now = mClock.now();
        if (mLastReportTimestamp == null
                || mClock.millisSince(mLastReportTimestamp) >= EXPIRY_MILLIS) {
            mBegunTimestamp = now;
        }
        mLastReportTimestamp = now;
        Map<String, TargetWork> valid = new HashMap<>(work);
        valid.values().removeIf(w -> !w.isValid());
        subtract(last);
        Report report = new Report(source, incarnation, valid, now);
        mReports.put(key, report);
        valid.forEach((target, w) -> totals(source).merge(target, w, TargetWork::plus));
    }

    private Map<String, TargetWork> totals(Source source) {
        return source == Source.GATEWAY ? mZoneTotals : mForeignTotals;
    }

    private void subtract(Report report) {
        if (report == null) {
            return;
        }
        Map<String, TargetWork> totals = totals(report.source());
        report.work()
                .forEach(
                        (target, work) ->
                                totals.computeIfPresent(
                                        target,
                                        (t, sum) -> {
                                            TargetWork rest = sum.minus(work);
                                            return rest.isNone() ? null : rest;
                                        }));
    }

    private void expire() {
        if (mCheckedTimestamp != null
                && mClock.millisSince(mCheckedTimestamp) < EXPIRY_CHECK_MILLIS) {
            return;
        }
        mCheckedTimestamp = mClock.now();
        long ageSumMillis = 0;
        int working = 0;
        Iterator<Report> reports = mReports.values().iterator();
        while (reports.hasNext()) {
            Report report = reports.next();
            long ageMillis = mClock.millisSince(report.received());
            if (ageMillis >= EXPIRY_MILLIS) {
                reports.remove();
                subtract(report);
            } else if (!report.work().isEmpty()) {
                ageSumMillis += ageMillis;
                working++;
            }
        }
        mMeanAgeMillis = working == 0 ? 0 : ageSumMillis / working;
    }

    /**
     * Returns the work of all others than a gateway of the zone, in all zones.
     *
     * @param gateway name of the gateway
     */
    public Sum sumOfOthers(String gateway) {
        expire();
        Map<String, TargetWork> sum = new HashMap<>(mZoneTotals);
        mForeignTotals.forEach((target, work) -> sum.merge(target, work, TargetWork::plus));
        Report own = mReports.get(Source.GATEWAY + "/" + gateway);
        if (own != null) {
            own.work()
                    .forEach(
                            (target, work) ->
                                    sum.computeIfPresent(target, (t, s) -> s.minus(work)));
        }
        sum.values().removeIf(TargetWork::isNone);
        return sum(sum);
    }

    /** Returns the work of the gateways of the zone, for the owners of other zones. */
    public Sum zoneSum() {
        expire();
        return sum(Map.copyOf(mZoneTotals));
    }

    private Sum sum(Map<String, TargetWork> work) {
        long collectingMillis = mBegunTimestamp == null ? 0 : mClock.millisSince(mBegunTimestamp);
        return new Sum(work, mMeanAgeMillis, collectingMillis);
    }

    /** Returns the number of reports that count. */
    public int reportCount() {
        expire();
        return mReports.size();
    }
}
