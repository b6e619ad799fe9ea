package org.heathercourse.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.heathercourse.gateway.http.ClosedConnections.Cause;
import org.heathercourse.testing.ManualTicker;
import org.junit.jupiter.api.Test;

/**
 * Guards against silent callers that lock out others, and against more connections than allowed.
 */
class OpenConnectionsTest {
    private final ClosedConnections mClosed = new ClosedConnections(new ManualTicker());
    private final OpenConnections<FakeConnection> mConnections = new OpenConnections<>(2, mClosed);

    private static final class FakeConnection implements OpenConnections.Connection {
        private boolean mBusy;
        private boolean mReceiving;
        private boolean mIsClosed;

        @Override
        public boolean isReplaceable() {
            return !mBusy && !mReceiving;
        }

        @Override
        public boolean isReceiving() {
            return !mBusy;
        }

        @Override
        public void close() {
            mIsClosed = true;
        }
    }

    private FakeConnection open() {
        FakeConnection connection = new FakeConnection();
        mConnections.add(connection);
        return connection;
    }

    @Test
    void closesTheOneThatWaitsLongest() {
        FakeConnection first = open();
        FakeConnection second = open();
        FakeConnection third = open();
        assertThat(first.mIsClosed).isTrue();
        assertThat(second.mIsClosed || third.mIsClosed).isFalse();
        assertThat(mClosed.count(Cause.CONNECTIONS)).isEqualTo(1);
    }

    @Test
    void keepsConnectionsThatHadRequests() {
        FakeConnection first = open();
        FakeConnection second = open();
        mConnections.onRequestEnded(first);
        open();
        assertThat(first.mIsClosed).isFalse();
        assertThat(second.mIsClosed).isTrue();
    }

    /** A slow sound upload used to be cut off before connections without a request. */
    @Test
    void closesOneWhoseRequestIsBeingReadOnlyIfNoOtherWaits() {
        FakeConnection upload = open();
        upload.mReceiving = true;
        FakeConnection silent = open();
        FakeConnection busy = open();
        assertThat(upload.mIsClosed).isFalse();
        assertThat(silent.mIsClosed).isTrue();
        busy.mBusy = true;
        open().mBusy = true;
        assertThat(upload.mIsClosed).isTrue();
    }

    @Test
    void closesTheNewOneIfAllAreAnswered() {
        open().mBusy = true;
        open().mBusy = true;
        assertThat(open().mIsClosed).isTrue();
        assertThat(mConnections.copy()).hasSize(2);
    }

    @Test
    void limitsFollowDescriptorsAndHeap() {
        assertThat(ConnectionLimits.of(160, 1L << 40)).isEqualTo(new ConnectionLimits(80, 10, 20));
        assertThat(ConnectionLimits.of(1_000_000, 72L << 20))
                .isEqualTo(new ConnectionLimits(2_304, 144, 288));
        assertThat(ConnectionLimits.of(0, 0)).isEqualTo(new ConnectionLimits(4, 4, 4));
    }
}
