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

/** One accepted call on its way through the executor. Mutable parts belong to the executor. */
final class Job {
    /** Identity of a logged call. */
    record Key(ProgramId program, RequestId request) {}

    private final CallDependencies mServices;
    private final CallRequest mRequest;
    private final byte[] mBody;
    private final InputStream mStream;
    private final AnswerBuffer mAnswer;
    private final String mDigest;
    private final ShardId mShard;
    private final long mDeadlineNanos;
    ShardDirectory.Use mUse;
    Future<?> mQueueTimeout;
    boolean mStarted;

    Job(CallDependencies services, CallRequest request, byte[] body, InputStream stream) {
        mServices = services;
        mRequest = request;
        mBody = body;
        mStream = stream;
        mAnswer = request.ephemeral() ? AnswerBuffer.windowed() : AnswerBuffer.retained();
        mDigest = request.ephemeral() ? "" : digest(request, body);
        mShard = request.ephemeral() ? null : request.shard(services.config().current().shards());
        mDeadlineNanos =
                services.ticker().readNanos()
                        + TimeUnit.MILLISECONDS.toNanos(request.deadlineMillis());
    }

    CallRequest request() {
        return mRequest;
    }

    /** Returns the body; null if it is a stream. */
    byte[] body() {
        return mBody;
    }

    InputStream stream() {
        return mStream;
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
        return TimeUnit.NANOSECONDS.toMillis(mDeadlineNanos - mServices.ticker().readNanos());
    }

    /**
     * Checks that this daemon still owns the shard of the program.
     *
     * @param notRun whether nothing of the call has reached a target so far
     * @return the fencing number, 0 for ephemeral calls
     */
    long fence(boolean notRun) {
        if (mShard == null) {
            return 0;
        }
        // A non-idempotent call needs a durable intent besides, which proves the ownership.
        OptionalLong fence = mServices.shards().fenceForIdempotentWork(mShard);
        if (fence.isEmpty()) {
            throw CallErrors.ownershipLost(mShard, notRun);
        }
        return fence.getAsLong();
    }

    /** Returns the digest by which repeats of a call are told from other calls. */
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
