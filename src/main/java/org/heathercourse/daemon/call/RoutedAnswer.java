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
 * The answer of a call of a program, read from its owner. When the owner is lost, the call is
 * attached again at the present owner by its request identity, and what was delivered before is
 * skipped if it is the same. Not safe for several threads.
 */
final class RoutedAnswer implements Answer {
    private static final long POLL_MILLIS = 50;
    // The owner ends a call at its deadline; this margin covers an owner that does not answer.
    private static final long DEADLINE_MARGIN_MILLIS = 5000;

    private final CallRouter mRouter;
    private final CallRequest mRequest;
    private final byte[] mBody;
    private final ShardId mShard;
    private final long mDeadlineMillis;
    private final MessageDigest mDeliveredDigest = sha256();
    private Answer mSource;
    private long mGiveUpMillis;
    private boolean mMayHaveRun;
    private CallHead mHead;
    private long mDelivered;
    private long mSkipLeft;
    private MessageDigest mSkipped;
    private boolean mEnded;

    RoutedAnswer(CallRouter router, CallRequest request, byte[] body) {
        mRouter = router;
        mRequest = request;
        mBody = body;
        mShard = request.shard(router.config().current().shards());
        long now = router.ticker().readMillis();
        mDeadlineMillis = now + request.deadlineMillis();
        startWaiting(now);
    }

    /** Returns whether an error of a kind means that another owner has to be asked. */
    static boolean elsewhere(ErrorKind kind) {
        return kind == ErrorKind.OWNERSHIP_LOST
                || kind == ErrorKind.OWNER_UNAVAILABLE
                || kind == ErrorKind.DRAINING;
    }

    @Override
    public PeerMessage next(long timeoutMillis) throws InterruptedException {
        long end = now() + timeoutMillis;
        while (!mEnded) {
            if (mSource == null) {
                connect();
            }
            PeerMessage message;
            if (mSource == null) {
                if (now() >= mGiveUpMillis) {
                    return last(givenUp());
                }
                pause(Math.min(POLL_MILLIS, Math.max(1, end - now())));
                message = null;
            } else {
                message = mSource.next(Math.max(0, end - now()));
            }
            PeerMessage passed = message == null ? null : handle(message);
            if (passed != null) {
                return passed;
            }
            if (now() >= end) {
                return now() > mDeadlineMillis + DEADLINE_MARGIN_MILLIS ? late() : null;
            }
        }
        return null;
    }

    private PeerMessage late() {
        return last(CallErrors.deadline(false));
    }

    private ErrorReply last(HeathercourseException error) {
        mEnded = true;
        close();
        return PeerErrors.toMessage(error);
    }

    private HeathercourseException givenUp() {
        return mMayHaveRun
                ? CallErrors.outcomeUnknown(
                        "the owner of shard " + mShard + " was lost during the call")
                : CallErrors.ownerUnavailable(mShard, true);
    }

    private static void pause(long millis) throws InterruptedException {
        if (new CountDownLatch(1).await(millis, TimeUnit.MILLISECONDS)) {
            throw new IllegalStateException("a latch that nobody counts down was released");
        }
    }

    private long now() {
        return mRouter.ticker().readMillis();
    }

    private void startWaiting(long now) {
        mGiveUpMillis = Math.min(now + mRouter.settings().ownerTimeoutMillis(), mDeadlineMillis);
    }

    // Sources

    private void connect() {
        Optional<DaemonInfo> owner = mRouter.shards().owner(mShard);
        if (owner.isEmpty()) {
            return;
        }
        mSkipLeft = mDelivered;
        mSkipped = sha256();
        CallRequest request =
                mRequest.toBuilder().deadlineMillis(Math.max(1, mDeadlineMillis - now())).build();
        DaemonInfo self = mRouter.shards().self();
        boolean here =
                owner.get().vm().equals(self.vm())
                        && owner.get().incarnation() == self.incarnation();
        mSource =
                here
                        ? CallRouter.local(mRouter.executor().submit(request, mBody))
                        : new Remote(owner.get(), request);
    }

    /** An answer that comes over a link. A broken link is reported like a lost ownership. */
    private final class Remote implements Answer {
        private final LinkedBlockingQueue<PeerMessage> mMessages = new LinkedBlockingQueue<>();
        private final CallStream mStream;

        Remote(DaemonInfo owner, CallRequest request) {
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

    // Messages

    /** Returns what the reader gets of a message, or null if there is nothing for it. */
    private PeerMessage handle(PeerMessage message) throws InterruptedException {
        if (message instanceof ErrorReply error) {
            return handleError(error);
        }
        startWaiting(now());
        if (message instanceof CallHead head) {
            return handleHead(head);
        }
        if (message instanceof CallChunk chunk) {
            return handleChunk(chunk.bytes());
        }
        if (message instanceof CallEnd && mSkipLeft > 0) {
            return last(differs());
        }
        mEnded = message instanceof CallEnd;
        return mEnded ? message : null;
    }

    private PeerMessage handleError(ErrorReply error) throws InterruptedException {
        mSource = null;
        if (elsewhere(ErrorKind.fromWireName(error.kind()))) {
            if (!mMayHaveRun && !error.notRun()) {
                startWaiting(now());
            }
            mMayHaveRun |= !error.notRun();
            if (now() >= mGiveUpMillis) {
                return last(givenUp());
            }
            pause(POLL_MILLIS);
            return null;
        }
        mEnded = true;
        // An earlier owner may have run the call, whatever the present one says about its own try.
        boolean notRun = error.notRun() && !mMayHaveRun;
        return new ErrorReply(
                error.kind(), error.message(), error.remedy(), notRun, error.retryAfterMillis());
    }

    private PeerMessage handleHead(CallHead head) {
        if (mHead == null) {
            mHead = head;
            return head;
        }
        return head.status() == mHead.status() ? null : last(differs());
    }

    private PeerMessage handleChunk(byte[] bytes) {
        int skip = (int) Math.min(mSkipLeft, bytes.length);
        if (skip > 0) {
            mSkipped.update(bytes, 0, skip);
            mSkipLeft -= skip;
            if (mSkipLeft == 0 && !same()) {
                return last(differs());
            }
        }
        if (skip == bytes.length) {
            return null;
        }
        byte[] fresh = skip == 0 ? bytes : Arrays.copyOfRange(bytes, skip, bytes.length);
        mDeliveredDigest.update(fresh);
        mDelivered += fresh.length;
        return new CallChunk(fresh);
    }

    private boolean same() {
        try {
            MessageDigest delivered = (MessageDigest) mDeliveredDigest.clone();
            return MessageDigest.isEqual(delivered.digest(), mSkipped.digest());
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException("SHA-256 cannot be cloned", e);
        }
    }

    private static HeathercourseException differs() {
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
