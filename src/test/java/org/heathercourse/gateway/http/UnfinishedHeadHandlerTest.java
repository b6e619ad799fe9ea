package org.heathercourse.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import org.heathercourse.core.limits.MemoryBudget;
import org.heathercourse.gateway.http.ClosedConnections.Cause;
import org.heathercourse.testing.ManualTicker;
import org.junit.jupiter.api.Test;

/**
 * Guards against input that costs more memory than is charged for it, and against bytes that are
 * lost or decoded too early while a call runs.
 */
class UnfinishedHeadHandlerTest {
    private static final long BUDGET_BYTES = 1_000_000;
    private static final String HEAD = "GET /a HTTP/1.1\r\nHost: x\r\n";
    private static final String CHUNKED = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final MemoryBudget mBudget = new MemoryBudget(BUDGET_BYTES);
    private final ClosedConnections mClosed = new ClosedConnections(new ManualTicker());
    private final Messages mMessages = new Messages();
    private final UnfinishedHeadHandler mHandler =
            new UnfinishedHeadHandler(() -> 1_000, mBudget, mMessages, mClosed);
    private final EmbeddedChannel mChannel =
            new EmbeddedChannel(mHandler, new HttpRequestDecoder(65_536, 65_536, 8_192), mMessages);

    /** A consumer that takes no more requests after the first until it is told to. */
    private final class Messages extends ChannelInboundHandlerAdapter
            implements UnfinishedHeadHandler.Consumer {
        private boolean mReady = true;
        private boolean mEnded;
        private int mHeads;
        private int mEnds;
        private int mBodyBytes;
        private int mContents;

        @Override
        public boolean isReady() {
            return mReady;
        }

        @Override
        public boolean isEnded() {
            return mEnded;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            mHandler.onMessage((HttpObject) message);
            if (message instanceof HttpRequest) {
                mHandler.onHeadRead();
                mHeads++;
            }
            if (message instanceof HttpContent content) {
                mBodyBytes += content.content().readableBytes();
                mContents++;
            }
            if (message instanceof LastHttpContent) {
                mEnds++;
                mReady = false;
            }
            ReferenceCountUtil.release(message);
        }

        private void takeNext() {
            mReady = true;
            mHandler.resume();
        }
    }

    private void receive(String text) {
        mChannel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    @Test
    void chargesFieldsOfUnfinishedHead() {
        receive(HEAD + "a:\r\n".repeat(1_000));
        assertThat(mChannel.isOpen()).isTrue();
        assertThat(mBudget.usedBytes())
                .isGreaterThanOrEqualTo(1_000L * UnfinishedHeadHandler.FIELD_BYTES);
        receive("\r\n");
        assertThat(mMessages.mHeads).isEqualTo(1);
        assertThat(mBudget.usedBytes()).isZero();
    }

    @Test
    void closesConnectionWhoseUnfinishedHeadExceedsHalfOfBudget() {
        receive(HEAD + "a:\r\n".repeat(2_500));
        assertThat(mChannel.isOpen()).isFalse();
        assertThat(mClosed.count(Cause.MEMORY)).isEqualTo(1);
        assertThat(mBudget.usedBytes()).isZero();
    }

    /** A head that has been read completely may use the whole budget. */
    @Test
    void decodesCompleteHeadWhileUnfinishedOnesUseHalfOfBudget() {
        assertThat(mBudget.reserveHead().resize(BUDGET_BYTES / 2)).isTrue();
        receive(HEAD + "a:\r\n".repeat(500) + "\r\n");
        assertThat(mMessages.mEnds).isEqualTo(1);
        assertThat(mChannel.isOpen()).isTrue();
    }

    @Test
    void chargesUnfinishedTrailers() {
        receive(CHUNKED + "0\r\n" + "a:\r\n".repeat(2_500));
        assertThat(mChannel.isOpen()).isFalse();
    }

    @Test
    void chargesUnfinishedChunkExtension() {
        receive(CHUNKED + "3;" + "a".repeat(10_000));
        assertThat(mBudget.usedBytes()).isGreaterThanOrEqualTo(10_000);
    }

    /** Each chunk is decoded at once, so that a long body is not charged twice. */
    @Test
    void chargesNothingForDecodedChunks() {
        receive(CHUNKED + "3\r\nxyz\r\n".repeat(5_000));
        assertThat(mMessages.mBodyBytes).isEqualTo(15_000);
        assertThat(mBudget.usedBytes()).isLessThan(2_048);
    }

    /** The fields of the next head used to reach the decoder uncharged with the end of a body. */
    @Test
    void chargesHeadBehindBodyOfDeclaredLength() {
        receive(HEAD + "Content-Length: 1\r\n\r\nx" + HEAD + "a:\r\n".repeat(200));
        assertThat(mMessages.mEnds).isEqualTo(1);
        mMessages.takeNext();
        assertThat(mBudget.usedBytes())
                .isGreaterThanOrEqualTo(200L * UnfinishedHeadHandler.FIELD_BYTES);
    }

    /** Line feeds in a body used to end a slice each, which cost time for each byte. */
    @Test
    void passesBodyOfLineFeedsOnAtOnce() {
        receive(HEAD + "Content-Length: 8000\r\n\r\n" + "\n".repeat(8_000));
        assertThat(mMessages.mBodyBytes).isEqualTo(8_000);
        assertThat(mMessages.mContents).isLessThan(10);
        assertThat(mMessages.mEnds).isEqualTo(1);
    }

    /** Trailers that follow the last chunk in the same read used to be uncharged at first. */
    @Test
    void chargesTrailersBehindChunk() {
        receive(CHUNKED + "3\r\nxyz\r\n0\r\n" + "a:\r\n".repeat(200));
        assertThat(mBudget.usedBytes())
                .isGreaterThanOrEqualTo(200L * UnfinishedHeadHandler.FIELD_BYTES);
    }

    /** A sound upload used to be closed between two chunks while heads of others used memory. */
    @Test
    void keepsChunkedBodyOpenWhileOthersUseHalfOfBudget() {
        receive(CHUNKED + "3\r\nxyz\r\n");
        assertThat(mBudget.reserveNothing().resize(BUDGET_BYTES * 5 / 8)).isTrue();
        receive("3\r\n");
        receive("xyz\r\n0\r\n\r\n");
        assertThat(mChannel.isOpen()).isTrue();
        assertThat(mMessages.mEnds).isEqualTo(1);
    }

    @Test
    void decodesRequestsOneByOne() {
        receive((HEAD + "\r\n").repeat(3));
        assertThat(mMessages.mHeads).isEqualTo(1);
        assertThat(mHandler.hasHeldHead()).isTrue();
        mMessages.takeNext();
        assertThat(mMessages.mHeads).isEqualTo(2);
        mMessages.takeNext();
        assertThat(mMessages.mHeads).isEqualTo(3);
        assertThat(mHandler.hasHeldHead()).isFalse();
        assertThat(mBudget.usedBytes()).isZero();
    }

    /** Bytes that arrive one by one behind a running call stay in order. */
    @Test
    void keepsOrderOfBytesReadBehindRunningCall() {
        receive(HEAD + "\r\n");
        String next = "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcde" + HEAD + "\r\n";
        for (char character : next.toCharArray()) {
            receive(String.valueOf(character));
        }
        assertThat(mMessages.mHeads).isEqualTo(1);
        mMessages.takeNext();
        assertThat(mMessages.mBodyBytes).isEqualTo(5);
        mMessages.takeNext();
        assertThat(mMessages.mEnds).isEqualTo(3);
    }

    @Test
    void stopsReadingBehindRunningCall() {
        receive(HEAD + "\r\n");
        receive("x".repeat(20_000));
        assertThat(mChannel.config().isAutoRead()).isFalse();
        assertThat(mBudget.usedBytes()).isGreaterThanOrEqualTo(20_000);
    }

    @Test
    void discardsBytesOfConnectionThatHasEnded() {
        mMessages.mEnded = true;
        receive("x".repeat(20_000));
        assertThat(mBudget.usedBytes()).isZero();
        assertThat(mChannel.config().isAutoRead()).isTrue();
    }
}
