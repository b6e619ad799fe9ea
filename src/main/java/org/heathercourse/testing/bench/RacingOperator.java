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
 * An operator that submits configuration changes based on the revision it read last, concurrently
 * with other operators.
 *
 * <p>Each change writes a unique marker into the rate of the first workspace, which all operators
 * change, and adds one to the rate of a workspace that only this operator changes. A change whose
 * reply was lost is retried with the same change id through any daemon; a change that was refused
 * because of a conflict is replaced by a new one. Used by one thread.
 */
final class RacingOperator implements Callable<Void> {
    private static final int MAX_RETRIES = 400;
    private static final double SHORT_DEADLINE_PROBABILITY = 0.1;
    private static final long MAX_SHORT_DEADLINE_MILLIS = 40;

    private final int mNumber;
    private final int mChanges;
    private final List<OperatorConnection> mConnections;
    private final SplittableRandom mRandom;
    private final Ticker mTicker;
    private final Results mResults;

    /** Replies received by all operators. Safe for use by several threads. */
    static final class Results {
        /** Revision by the marker of the accepted change. */
        final Map<Long, Long> mRevisionByMarker = new ConcurrentHashMap<>();

        /**
         * Time at which the operator received the acceptance, in nanoseconds of the ticker, by
         * revision.
         */
        final Map<Long, Long> mAcceptedNanos = new ConcurrentHashMap<>();

        /** Number of the operator by the marker of each submitted change. */
        final Map<Long, Integer> mOperatorByMarker = new ConcurrentHashMap<>();

        final AtomicInteger mConflicts = new AtomicInteger();
        final AtomicInteger mRetries = new AtomicInteger();
        final AtomicInteger mErrors = new AtomicInteger();
        final AtomicLong mMarkers = new AtomicLong(1_000_000);
    }

    /**
     * Creates an operator.
     *
     * @param number number of the operator, from 0; its own workspace has the index {@code 1 +
     *     number}
     * @param changes number of changes to get accepted
     * @param connections connections to one daemon each, used by this operator alone; the first is
     *     used for first attempts
     * @param seed seed of all random choices
     * @param ticker clock for the times of acceptance
     * @param results collects the replies of all operators
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
        for (int acceptedChanges = 0; acceptedChanges < mChanges; ) {
            long marker = mResults.mMarkers.incrementAndGet();
            mResults.mOperatorByMarker.put(marker, mNumber);
            if (tryChange(marker)) {
                acceptedChanges++;
                if (acceptedChanges % 20 == 0) {
                    System.err.println("operator=" + mNumber + " accepted=" + acceptedChanges);
                }
            }
        }
        return null;
    }

    private boolean tryChange(long marker) {
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

    private Configuration edit(Configuration current, long marker) {
        Configuration.Builder next = current.toBuilder();
        next.getWorkspacesBuilder(0).setRatePerSecond(marker);
        double ownRate = current.getWorkspaces(1 + mNumber).getRatePerSecond();
        next.getWorkspacesBuilder(1 + mNumber).setRatePerSecond(ownRate + 1);
        return next.build();
    }

    private GetConfigurationResponse read() {
        GetConfigurationRequest request = GetConfigurationRequest.getDefaultInstance();
        for (int i = 0; ; i++) {
            try {
                return chooseConnection(i).call(stub -> stub.getConfiguration(request));
            } catch (StatusRuntimeException e) {
                pauseOrThrow(e, i);
            }
        }
    }

    /** Submits a change; returns the accepted revision, or empty if the change was refused. */
    private OptionalLong apply(ApplyRequest request) {
        boolean shortDeadline = mRandom.nextDouble() < SHORT_DEADLINE_PROBABILITY;
        long deadlineMillis = 1 + mRandom.nextLong(MAX_SHORT_DEADLINE_MILLIS);
        for (int i = 0; ; i++) {
            // A short deadline on the first attempt may expire before the reply arrives.
            boolean useShortDeadline = shortDeadline && i == 0;
            try {
                return OptionalLong.of(
                        chooseConnection(i)
                                .call(
                                        stub ->
                                                (useShortDeadline
                                                                ? stub.withDeadlineAfter(
                                                                        deadlineMillis,
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
                pauseOrThrow(e, i);
                mResults.mRetries.incrementAndGet();
            }
        }
    }

    private void pauseOrThrow(StatusRuntimeException e, int attempts) {
        Status.Code code = e.getStatus().getCode();
        boolean retryable =
                code == Status.Code.UNAVAILABLE || code == Status.Code.DEADLINE_EXCEEDED;
        if (!retryable) {
            mResults.mErrors.incrementAndGet();
            System.err.println("call failed cause=" + e.getStatus());
        }
        if (attempts >= MAX_RETRIES) {
            throw e;
        }
        Pauses.pause(20 + mRandom.nextInt(60));
    }

    /**
     * Returns the connection to the first daemon for a first attempt and to a random daemon for a
     * retry.
     */
    private OperatorConnection chooseConnection(int attempts) {
        return mConnections.get(attempts == 0 ? 0 : mRandom.nextInt(mConnections.size()));
    }
}
