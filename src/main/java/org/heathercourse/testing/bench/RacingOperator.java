package org.heathercourse.testing.bench;

import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.ops.ctl.OperatorConnection;
import org.heathercourse.ops.v1.ApplyRequest;
import org.heathercourse.ops.v1.Configuration;
import org.heathercourse.ops.v1.GetConfigurationRequest;
import org.heathercourse.ops.v1.GetConfigurationResponse;
import org.heathercourse.testing.load.Pauses;

/**
 * An operator that makes changes on the revision it last read, while others do the same.
 *
 * <p>Each change writes a marker of its own into the rate of the first workspace, which all
 * operators change, and adds one to the rate of a workspace that this operator alone changes. A
 * change whose reply was lost is repeated with its identity, through any daemon; a change that lost
 * a race is made anew. Used by one thread.
 */
final class RacingOperator implements Callable<Void> {
    private static final int MAX_REPEATS = 400;
    private static final double SHORT_DEADLINE_SHARE = 0.1;
    private static final long MAX_SHORT_DEADLINE_MILLIS = 40;

    private final int mNumber;
    private final int mChanges;
    private final List<OperatorConnection> mConnections;
    private final SplittableRandom mRandom;
    private final Ticker mTicker;
    private final Results mResults;

    /** What all operators were told. Safe for use by several threads. */
    static final class Results {
        /** Revisions by the marker of the accepted change. */
        final Map<Long, Long> mRevisionByMarker = new ConcurrentHashMap<>();

        /** When the operator was told of the acceptance, in nanoseconds, by revision. */
        final Map<Long, Long> mAcceptedNanos = new ConcurrentHashMap<>();

        /** Operators by marker of every change that was tried. */
        final Map<Long, Integer> mOperatorByMarker = new ConcurrentHashMap<>();

        final AtomicInteger mConflicts = new AtomicInteger();
        final AtomicInteger mRepeats = new AtomicInteger();
        final AtomicInteger mErrors = new AtomicInteger();
        final AtomicLong mMarkers = new AtomicLong(1_000_000);
    }

    /**
     * Creates an operator.
     *
     * @param number number of the operator, from 0; its own workspace is the one after it
     * @param changes number of changes to get accepted
     * @param connections connections to one daemon each, used by this operator alone; the first is
     *     the one that it normally uses
     * @param seed seed of its choices
     * @param ticker measures when a change was accepted
     * @param results where its results go
     */
    RacingOperator(
            int number,
            int changes,
            List<OperatorConnection> connections,
            long seed,
            Ticker ticker,
            Results results) {
        mNumber = number;
        mChanges = changes;
        mConnections = connections;
        mRandom = new SplittableRandom(seed);
        mTicker = ticker;
        mResults = results;
    }

    @Override
    public Void call() {
        for (int done = 0; done < mChanges; ) {
            long marker = mResults.mMarkers.incrementAndGet();
            mResults.mOperatorByMarker.put(marker, mNumber);
            if (change(marker)) {
                done++;
                if (done % 20 == 0) {
                    System.err.println("operator=" + mNumber + " accepted=" + done);
                }
            }
        }
        return null;
    }

    private boolean change(long marker) {
        GetConfigurationResponse read = read();
        ApplyRequest request =
                ApplyRequest.newBuilder()
                        .setConfiguration(edit(read.getConfiguration(), marker))
                        .setBaseRevision(read.getRevision())
                        .setChangeId("operator-" + mNumber + "-" + marker)
                        .build();
        OptionalLong revision = apply(request);
        if (revision.isEmpty()) {
            return false;
        }
        mResults.mRevisionByMarker.put(marker, revision.getAsLong());
        mResults.mAcceptedNanos.put(revision.getAsLong(), mTicker.readNanos());
        return true;
    }

    private Configuration edit(Configuration present, long marker) {
        Configuration.Builder next = present.toBuilder();
        next.getWorkspacesBuilder(0).setRatePerSecond(marker);
        double own = present.getWorkspaces(1 + mNumber).getRatePerSecond();
        next.getWorkspacesBuilder(1 + mNumber).setRatePerSecond(own + 1);
        return next.build();
    }

    private GetConfigurationResponse read() {
        GetConfigurationRequest request = GetConfigurationRequest.getDefaultInstance();
        for (int i = 0; ; i++) {
            try {
                return connection(i).call(stub -> stub.getConfiguration(request));
            } catch (StatusRuntimeException e) {
                repeatOrThrow(e, i);
            }
        }
    }

    /** Returns the accepted revision, or empty if the change was refused. */
    private OptionalLong apply(ApplyRequest request) {
        boolean hurried = mRandom.nextDouble() < SHORT_DEADLINE_SHARE;
        long deadline = 1 + mRandom.nextLong(MAX_SHORT_DEADLINE_MILLIS);
        for (int i = 0; ; i++) {
            // The operator loses the reply of the first try if its deadline passes before.
            boolean loses = hurried && i == 0;
            try {
                return OptionalLong.of(
                        connection(i)
                                .call(
                                        stub ->
                                                (loses
                                                                ? stub.withDeadlineAfter(
                                                                        deadline,
                                                                        TimeUnit.MILLISECONDS)
                                                                : stub)
                                                        .apply(request))
                                .getRevision());
            } catch (StatusRuntimeException e) {
                if (e.getStatus().getCode() == Status.Code.ABORTED) {
                    mResults.mConflicts.incrementAndGet();
                    return OptionalLong.empty();
                }
                if (e.getStatus().getCode() == Status.Code.INVALID_ARGUMENT) {
                    mResults.mErrors.incrementAndGet();
                    System.err.println("change refused cause=" + e.getStatus());
                    return OptionalLong.empty();
                }
                repeatOrThrow(e, i);
                mResults.mRepeats.incrementAndGet();
            }
        }
    }

    private void repeatOrThrow(StatusRuntimeException e, int tries) {
        Status.Code code = e.getStatus().getCode();
        boolean repeatable =
                code == Status.Code.UNAVAILABLE || code == Status.Code.DEADLINE_EXCEEDED;
        if (!repeatable) {
            mResults.mErrors.incrementAndGet();
            System.err.println("call failed cause=" + e.getStatus());
        }
        if (tries >= MAX_REPEATS) {
            throw e;
        }
        Pauses.pause(20 + mRandom.nextInt(60));
    }

    /** Returns the operator's own daemon for a first try and any daemon for a repeat. */
    private OperatorConnection connection(int tries) {
        return mConnections.get(tries == 0 ? 0 : mRandom.nextInt(mConnections.size()));
    }
}
