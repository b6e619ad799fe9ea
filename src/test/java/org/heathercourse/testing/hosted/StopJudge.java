package org.heathercourse.testing.hosted;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.heathercourse.testing.hosted.TargetStandIn.ReceivedRequest;

/**
 * Judges the requests and the processes of a soak of planned stops, by what callers and targets
 * saw. Confined to one thread.
 */
final class StopJudge {
    /** Ratio of the grace period before which a request must have been sent to be excused. */
    private static final double MAX_EXCUSED_SENT_RATIO = 3.0 / 8;

    /** Ratio of the grace period at which the target of an excused request still worked. */
    private static final double MIN_EXCUSED_WORK_RATIO = 5.0 / 6;

    /** Time without an answer in milliseconds after which a request did not just cross a close. */
    private static final long MIN_HELD_MILLIS = 500;

    /** Time without an answer in milliseconds after which a caller gives up. */
    private static final long CALLER_TIMEOUT_MILLIS = 7_900;

    /**
     * Minimum share of answers with status 200 among the answers of ready gateways while no gateway
     * left. The load is far below the rate of the workspace and the targets serve every request, so
     * a ready gateway has no reason to refuse most requests; one that refused all would keep every
     * other promise.
     */
    private static final double MIN_SERVED_RATIO = 0.5;

    private static final int HTTP_OK = 200;

    private final long mGraceMillis;
    private final List<SoakGateway.Run> mAllRuns;
    private final Map<String, TargetStandIn> mExecuted = new HashMap<>();
    private final Map<Integer, Integer> mAnswersByStatus = new TreeMap<>();
    private final List<String> mViolations = new ArrayList<>();
    private int mSentRequests;
    private int mPartlySentRequests;
    private int mCrossingCloses;
    private int mSentAfterClose;
    private int mStableAnswers;
    private int mStableServed;
    private int mCutRequests;
    private int mExcusedRequests;
    private int mRuns;

    /**
     * Creates a judge.
     *
     * @param graceMillis grace period of a planned stop in milliseconds
     * @param runs lives of all gateway processes
     * @param targets all targets; none works on a request any more
     */
    StopJudge(long graceMillis, List<SoakGateway.Run> runs, List<TargetStandIn> targets) {
        mGraceMillis = graceMillis;
        mAllRuns = List.copyOf(runs);
        for (TargetStandIn target : targets) {
            for (ReceivedRequest request : target.executedRequests()) {
                mExecuted.put(request.id(), target);
            }
        }
    }

    // Requests

    /** Judges a request. */
    void judge(SoakRequest request) {
        boolean executed = mExecuted.containsKey(request.id());
        if (!request.wasSent() && !executed) {
            mPartlySentRequests++;
            return;
        }
        mSentRequests++;
        if (request.isAnswered()) {
            judgeAnswered(request, executed);
        } else if (executed) {
            judgeCut(request);
        } else {
            judgeUnanswered(request);
        }
    }

    private void judgeAnswered(SoakRequest request, boolean executed) {
        mAnswersByStatus.merge(request.status(), 1, Integer::sum);
        if (request.run().wasReadyAt(request.sentMillis())
                && mAllRuns.stream().noneMatch(run -> wasLeavingDuring(run, request))) {
            mStableAnswers++;
            mStableServed += request.status() == HTTP_OK ? 1 : 0;
        }
        if (executed && (request.status() == 503 || request.status() == 429)) {
            mViolations.add("refused although a target executed it: " + request);
        }
    }

    private static boolean wasLeavingDuring(SoakGateway.Run run, SoakRequest request) {
        return run.wasStopped()
                && run.stopMillis() <= request.endMillis()
                && (!run.hasExited() || run.exitMillis() >= request.sentMillis());
    }

    private void judgeCut(SoakRequest request) {
        if (isExcused(request)) {
            mExcusedRequests++;
        } else {
            mCutRequests++;
            mViolations.add("cut although a target executed it: " + request);
        }
    }

    /** Returns whether the target was still busy at the end of the grace period. */
    private boolean isExcused(SoakRequest request) {
        SoakGateway.Run run = request.run();
        OptionalLong workEnd = mExecuted.get(request.id()).workEndMillis(request.id());
        return run.wasStopped()
                && request.wasSent()
                && request.sentMillis() - run.stopMillis() <= MAX_EXCUSED_SENT_RATIO * mGraceMillis
                && (workEnd.isEmpty()
                        || workEnd.getAsLong() - run.stopMillis()
                                >= MIN_EXCUSED_WORK_RATIO * mGraceMillis);
    }

    /** Judges a request that no target executed: only a planned stop may close its connection. */
    private void judgeUnanswered(SoakRequest request) {
        SoakGateway.Run run = request.run();
        if (!run.wasStopped() || request.endMillis() < run.stopMillis()) {
            mViolations.add("unanswered without a planned stop: " + request);
        } else if (request.durationMillis() >= CALLER_TIMEOUT_MILLIS) {
            mViolations.add("neither answered nor closed: " + request);
        } else if (request.wasSentAfterClose()) {
            mSentAfterClose++;
        } else if (request.heldMillis() >= MIN_HELD_MILLIS) {
            mViolations.add("held and then closed without an answer: " + request);
        } else {
            mCrossingCloses++;
        }
    }

    // Processes

    /** Judges the exit of a process; all processes have been stopped. */
    void judge(SoakGateway.Run run) {
        mRuns++;
        long durationMillis = run.exitMillis() - run.stopMillis();
        if (!run.hasExited()) {
            mViolations.add(run.name() + " has not exited");
        } else if (!run.wasStopped()) {
            mViolations.add(run.name() + " ended by itself with code " + run.exitCode());
        } else if (run.exitCode() != 0) {
            mViolations.add(run.name() + " exited with code " + run.exitCode());
        } else if (durationMillis > mGraceMillis) {
            mViolations.add(run.name() + " exited " + durationMillis + " ms after SIGTERM");
        }
    }

    // All requests

    /** Judges how many requests were served; all requests have been judged. */
    void judgeServedShare() {
        if (mStableServed == 0 || mStableServed < MIN_SERVED_RATIO * mStableAnswers) {
            mViolations.add(
                    "only "
                            + mStableServed
                            + " of "
                            + mStableAnswers
                            + " answers while no gateway left have status "
                            + HTTP_OK);
        }
    }

    // Result

    /** Returns a line for each broken promise. */
    List<String> violations() {
        return mViolations;
    }

    /** Returns the counts in one line. */
    String summary() {
        return "planned stops "
                + mRuns
                + ", requests "
                + mSentRequests
                + ", answers by status "
                + mAnswersByStatus
                + ", sent in part "
                + mPartlySentRequests
                + ", crossing closes "
                + mCrossingCloses
                + ", sent after the announced close "
                + mSentAfterClose
                + ", answered while no gateway left "
                + mStableAnswers
                + ", of them served "
                + mStableServed
                + ", excused "
                + mExcusedRequests
                + ", cut "
                + mCutRequests
                + ", violations "
                + mViolations.size();
    }
}
