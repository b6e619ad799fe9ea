package org.heathercourse.daemon.call;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.daemon.peer.PeerErrors;
import org.heathercourse.daemon.peer.PeerMessage;
import org.heathercourse.daemon.peer.PeerMessage.CallChunk;
import org.heathercourse.daemon.peer.PeerMessage.CallEnd;
import org.heathercourse.daemon.peer.PeerMessage.CallHead;
import org.heathercourse.daemon.peer.PeerMessage.CallStart;
import org.heathercourse.daemon.peer.PeerMessage.ErrorReply;
import org.heathercourse.daemon.peer.PeerNetwork.CallStream;

/**
 * Answer of a call of a program, read from the owner of the program. When the owner is lost, the
 * call is sent to the present owner under the same request identity. Bytes delivered before are
 * skipped if they are identical; otherwise the answer ends with an error. Not safe for use by
 * several threads.
 */
final class RoutedAnswer implements Answer {
    private static final long POLL_MILLIS = 50;
    // The owner ends a call at its deadline; the margin covers an owner that does not respond.
    private static final long DEADLINE_MARGIN_MILLIS = 5000;

    private final CallRouter mRouter;
    private final CallRequest mRequest;
    private final byte[] mBody;
    private final ShardId mShard;
    private final long mDeadlineMillis;
    private final MessageDigest mDeliveredDigest = sha256();
    private Answer mSource;
    private long mOwnerDeadlineMillis;
    private boolean mMayHaveRun;
    private CallHead mHead;
    private long mDeliveredBytes;
    private long mRemainingSkipBytes;
    private MessageDigest mSkippedDigest;
    private boolean mEnded;

    RoutedAnswer(CallRouter router, CallRequest request, byte[] body) {
        mRouter = router;
        mRequest = request;
        mBody = body;
        mShard = request.shard(router.config().current().shards());
        long nowMillis = router.ticker().readMillis();
        mDeadlineMillis = nowMillis + request.deadlineMillis();
        extendOwnerDeadline(nowMillis);
    }

    /** Returns whether an error of a kind requires a retry at the present owner. */
    static boolean isOwnerChangeError(ErrorKind kind) {
        return kind == ErrorKind.OWNERSHIP_LOST
                || kind == ErrorKind.OWNER_UNAVAILABLE
                || kind == ErrorKind.DRAINING;
    }

    @Override
    public PeerMessage next(long timeoutMillis) throws InterruptedException {
        long endMillis = nowMillis() + timeoutMillis;
        while (!mEnded) {
            if (mSource == null) {
                connect();
            }
            PeerMessage message;
            if (mSource == null) {
                if (nowMillis() >= mOwnerDeadlineMillis) {
                    return endWithError(ownerLostError());
                }
                waitMillis(Math.min(POLL_MILLIS, Math.max(1, endMillis - nowMillis())));
                message = null;
            } else {
                message = mSource.next(Math.max(0, endMillis - nowMillis()));
            }
            PeerMessage forwarded = message == null ? null : handle(message);
            if (forwarded != null) {
                return forwarded;
            }
            if (nowMillis() >= endMillis) {
                return nowMillis() > mDeadlineMillis + DEADLINE_MARGIN_MILLIS
                        ? endAtDeadline()
                        : null;
            }
        }
        return null;
    }

    private PeerMessage endAtDeadline() {
        return endWithError(CallErrors.deadlineExceeded(false));
    }

    private ErrorReply endWithError(HeathercourseException error) {
        mEnded = true;
        close();
        return PeerErrors.toMessage(error);
    }

    private HeathercourseException ownerLostError() {
        return mMayHaveRun
                ? CallErrors.outcomeUnknown(
                        "the owner of shard " + mShard + " was lost during the call")
                : CallErrors.ownerUnavailable(mShard, true);
    }

    private static void waitMillis(long millis) throws InterruptedException {
        if (new CountDownLatch(1).await(millis, TimeUnit.MILLISECONDS)) {
            throw new IllegalStateException("a latch that is never counted down was released");
        }
    }

    private long nowMillis() {
        return mRouter.ticker().readMillis();
    }

    private void extendOwnerDeadline(long nowMillis) {
        mOwnerDeadlineMillis =
                Math.min(nowMillis + mRouter.settings().ownerTimeoutMillis(), mDeadlineMillis);
    }

    // Connection to the owner

    private void connect() {
        Optional<DaemonInfo> owner = mRouter.shards().owner(mShard);
        if (owner.isEmpty()) {
            return;
        }
        mRemainingSkipBytes = mDeliveredBytes;
        mSkippedDigest = sha256();
        CallRequest request =
                mRequest.toBuilder()
                        .deadlineMillis(Math.max(1, mDeadlineMillis - nowMillis()))
                        .build();
        DaemonInfo self = mRouter.shards().self();
        boolean ownedHere =
                owner.get().vm().equals(self.vm())
                        && owner.get().incarnation() == self.incarnation();
        mSource =
                ownedHere
                        ? CallRouter.localAnswer(mRouter.executor().submit(request, mBody))
                        : new RemoteAnswer(owner.get(), request);
    }

    /** Answer that is read over a link. A broken link is reported like a lost ownership. */
    private final class RemoteAnswer implements Answer {
        private final LinkedBlockingQueue<PeerMessage> mMessages = new LinkedBlockingQueue<>();
        private final CallStream mStream;

        RemoteAnswer(DaemonInfo owner, CallRequest request) {
            mStream =
                    mRouter.network()
                            .openCall(
                                    owner,
                                    new CallStart(request.toJson(), mBody, true),
                                    mMessages::add,
                                    lost -> mMessages.add(PeerErrors.toMessage(lost)));
        }

        @Override
        public PeerMessage next(long timeoutMillis) throws InterruptedException {
            return mMessages.poll(timeoutMillis, TimeUnit.MILLISECONDS);
        }

        @Override
        public void close() {
            mStream.send(new PeerMessage.CallCancel());
        }
    }

    // Message handling

    /** Returns the message for the reader, or null if the reader gets none. */
    private PeerMessage handle(PeerMessage message) throws InterruptedException {
        if (message instanceof ErrorReply error) {
            return handleError(error);
        }
        extendOwnerDeadline(nowMillis());
        if (message instanceof CallHead head) {
            return handleHead(head);
        }
        if (message instanceof CallChunk chunk) {
            return handleChunk(chunk.bytes());
        }
        if (message instanceof CallEnd && mRemainingSkipBytes > 0) {
            return endWithError(answerDiffers());
        }
        mEnded = message instanceof CallEnd;
        return mEnded ? message : null;
    }

    private PeerMessage handleError(ErrorReply error) throws InterruptedException {
        mSource = null;
        if (isOwnerChangeError(ErrorKind.fromWireName(error.kind()))) {
            if (!mMayHaveRun && !error.notRun()) {
                extendOwnerDeadline(nowMillis());
            }
            mMayHaveRun |= !error.notRun();
            if (nowMillis() >= mOwnerDeadlineMillis) {
                return endWithError(ownerLostError());
            }
            waitMillis(POLL_MILLIS);
            return null;
        }
        mEnded = true;
        // An earlier owner may have run the call even if the present one has not.
        boolean notRun = error.notRun() && !mMayHaveRun;
        return new ErrorReply(
                error.kind(), error.message(), error.remedy(), notRun, error.retryAfterMillis());
    }

    private PeerMessage handleHead(CallHead head) {
        if (mHead == null) {
            mHead = head;
            return head;
        }
        return head.status() == mHead.status() ? null : endWithError(answerDiffers());
    }

    private PeerMessage handleChunk(byte[] bytes) {
        int skippedBytes = (int) Math.min(mRemainingSkipBytes, bytes.length);
        if (skippedBytes > 0) {
            mSkippedDigest.update(bytes, 0, skippedBytes);
            mRemainingSkipBytes -= skippedBytes;
            if (mRemainingSkipBytes == 0 && !skippedMatchesDelivered()) {
                return endWithError(answerDiffers());
            }
        }
        if (skippedBytes == bytes.length) {
            return null;
        }
        byte[] newBytes =
                skippedBytes == 0 ? bytes : Arrays.copyOfRange(bytes, skippedBytes, bytes.length);
        mDeliveredDigest.update(newBytes);
        mDeliveredBytes += newBytes.length;
        return new CallChunk(newBytes);
    }

    private boolean skippedMatchesDelivered() {
        try {
            MessageDigest delivered = (MessageDigest) mDeliveredDigest.clone();
            return MessageDigest.isEqual(delivered.digest(), mSkippedDigest.digest());
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException("SHA-256 cannot be cloned", e);
        }
    }

    private static HeathercourseException answerDiffers() {
        return CallErrors.targetFailed(
                "the answer after a change of owner differs from the part already delivered",
                false);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    @Override
    public void close() {
        if (mSource != null) {
            mSource.close();
            mSource = null;
        }
    }
}
