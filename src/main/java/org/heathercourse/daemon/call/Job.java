package org.heathercourse.daemon.call;

import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.OptionalLong;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RequestId;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.daemon.state.ShardDirectory;

/**
 * One accepted call in the executor. Its mutable fields are written by {@link CallExecutor} only.
 */
final class Job {
    /** Identity of a logged call. */
    record Key(ProgramId program, RequestId request) {}

    private final CallDependencies mDependencies;
    private final CallRequest mRequest;
    private final byte[] mBody;
    private final InputStream mBodyStream;
    private final AnswerBuffer mAnswer;
    private final String mDigest;
    private final ShardId mShard;
    private final long mDeadlineNanos;
    ShardDirectory.Use mShardUse;
    Future<?> mQueueTimeout;
    boolean mStarted;

    Job(CallDependencies dependencies, CallRequest request, byte[] body, InputStream bodyStream) {
        mDependencies = dependencies;
        mRequest = request;
        mBody = body;
        mBodyStream = bodyStream;
        mAnswer = request.ephemeral() ? AnswerBuffer.windowed() : AnswerBuffer.retained();
        mDigest = request.ephemeral() ? "" : digest(request, body);
        mShard =
                request.ephemeral()
                        ? null
                        : request.shard(dependencies.config().current().shards());
        mDeadlineNanos =
                dependencies.ticker().readNanos()
                        + TimeUnit.MILLISECONDS.toNanos(request.deadlineMillis());
    }

    CallRequest request() {
        return mRequest;
    }

    /** Returns the body; null if it is streamed. */
    byte[] body() {
        return mBody;
    }

    InputStream bodyStream() {
        return mBodyStream;
    }

    AnswerBuffer answer() {
        return mAnswer;
    }

    String digest() {
        return mDigest;
    }

    ShardId shard() {
        return mShard;
    }

    Key key() {
        return new Key(mRequest.program(), mRequest.request());
    }

    long remainingMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mDeadlineNanos - mDependencies.ticker().readNanos());
    }

    /**
     * Checks that this daemon still owns the shard of the program.
     *
     * @param notRun whether no attempt of the call has reached a target so far
     * @return the fencing number; 0 for ephemeral calls
     * @throws org.heathercourse.core.error.HeathercourseException of kind {@code OWNERSHIP_LOST} if
     *     the shard is not owned
     */
    long requireFence(boolean notRun) {
        if (mShard == null) {
            return 0;
        }
        // Sufficient for idempotent calls. A non-idempotent call also needs a durable intent,
        // whose commit proves the ownership.
        OptionalLong fence = mDependencies.shards().fenceForIdempotentWork(mShard);
        if (fence.isEmpty()) {
            throw CallErrors.ownershipLost(mShard, notRun);
        }
        return fence.getAsLong();
    }

    /**
     * Returns the digest that distinguishes repeats of a call from other calls with its identity.
     */
    static String digest(CallRequest request, byte[] body) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            String head =
                    String.join(
                            "\n",
                            request.kind().name(),
                            String.valueOf(request.service()),
                            request.method(),
                            request.path(),
                            request.historyMode().name(),
                            "");
            digest.update(head.getBytes(StandardCharsets.UTF_8));
            digest.update(body);
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
