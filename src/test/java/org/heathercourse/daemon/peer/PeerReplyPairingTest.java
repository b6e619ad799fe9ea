package org.heathercourse.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.SplittableRandom;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.peer.PeerMessage.ProgramOp;
import org.heathercourse.daemon.peer.PeerMessage.ProgramOpReply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a second, late or cut reply of a peer that completes another request. */
class PeerReplyPairingTest {
    private static final byte[] SECRET = {1};
    private static final long TIMEOUT_MILLIS = 10_000;

    private ServerSocket mServer;
    private NettyPeerNetwork mNetwork;
    private DaemonInfo mPeer;

    /** Answers the request with a number, counted from 1 on each link. */
    private interface Script {
        void answer(int number, Frame request, DataOutputStream output) throws Exception;
    }

    @BeforeEach
    void start() throws IOException {
        mServer = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        mPeer = info("b", mServer.getLocalPort());
        DaemonInfo self = info("a", 0);
        mNetwork =
                new NettyPeerNetwork(
                        new PeerSettings("127.0.0.1", 0, SECRET, 1),
                        () -> self,
                        Ticker.system(),
                        new SplittableRandom(1));
    }

    @AfterEach
    void stop() throws IOException {
        mNetwork.close();
        mServer.close();
    }

    private static DaemonInfo info(String vm, int port) {
        return new DaemonInfo(
                new VmId(vm), 1, new Zone("z"), "127.0.0.1", 1, port, 3, 1, 2000, false);
    }

    private void serve(Script script) {
        Thread thread = new Thread(() -> acceptLinks(script), "scripted-peer");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptLinks(Script script) {
        while (!mServer.isClosed()) {
            try (Socket socket = mServer.accept()) {
                serveLink(
                        new DataInputStream(socket.getInputStream()),
                        new DataOutputStream(socket.getOutputStream()),
                        script);
            } catch (Exception e) {
                // The link has ended; the next one is accepted.
            }
        }
    }

    private static void serveLink(DataInputStream input, DataOutputStream output, Script script)
            throws Exception {
        Handshake handshake = new Handshake(SECRET);
        Frame hello = read(input);
        byte[] nonce = Handshake.newNonce(new SplittableRandom(2));
        Frame bare = new Frame(Frame.CHALLENGE, 0, null, nonce, null, "b", 1);
        byte[] mac = handshake.computeProof("acceptor", hello, bare);
        write(output, new Frame(Frame.CHALLENGE, 0, null, nonce, mac, "b", 1));
        read(input);
        write(output, Frame.control(Frame.READY));
        int number = 0;
        while (true) {
            Frame frame = read(input);
            if (frame.k().equals(Frame.REQUEST)) {
                script.answer(++number, frame, output);
            }
        }
    }

    private static Frame read(DataInputStream input) throws IOException {
        byte[] bytes = new byte[input.readInt()];
        input.readFully(bytes);
        return Frame.decode(bytes);
    }

    private static void write(DataOutputStream output, Frame frame) throws IOException {
        output.write(encode(frame));
        output.flush();
    }

    private static byte[] encode(Frame frame) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        byte[] content = frame.encode();
        new DataOutputStream(bytes).writeInt(content.length);
        bytes.write(content);
        return bytes.toByteArray();
    }

    private static Frame reply(Frame request) {
        String program = ((ProgramOp) request.m()).program();
        return Frame.forMessage(Frame.REPLY, request.id(), new ProgramOpReply(program));
    }

    private String request(String program, long timeoutMillis) {
        ProgramOp op = new ProgramOp("show", "w", program, "{}");
        return mNetwork.request(mPeer, op, ProgramOpReply.class, timeoutMillis).join().json();
    }

    @Test
    void secondReplyIsDropped() {
        serve(
                (number, request, output) -> {
                    write(output, reply(request));
                    write(output, reply(request));
                });
        for (int i = 0; i < 20; i++) {
            assertThat(request("p" + i, TIMEOUT_MILLIS)).isEqualTo("p" + i);
        }
    }

    @Test
    void replyAfterTimeoutIsDropped() {
        CountDownLatch timedOut = new CountDownLatch(1);
        serve(
                (number, request, output) -> {
                    if (((ProgramOp) request.m()).program().equals("late")) {
                        timedOut.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                    }
                    write(output, reply(request));
                });
        assertThat(request("first", TIMEOUT_MILLIS)).isEqualTo("first");
        assertThatThrownBy(() -> request("late", 200)).isInstanceOf(CompletionException.class);
        timedOut.countDown();
        assertThat(request("next", TIMEOUT_MILLIS)).isEqualTo("next");
    }

    /** A whole frame after a part of another is read as its rest: the link must close. */
    @Test
    void replyAfterCutReplyFailsVisibly() throws Exception {
        int length = encode(Frame.forMessage(Frame.REPLY, 1, new ProgramOpReply("p"))).length;
        for (int cut = 1; cut < length; cut++) {
            int part = cut;
            stop();
            start();
            serve(
                    (number, request, output) -> {
                        if (number == 1) {
                            write(output, reply(request));
                            output.write(encode(reply(request)), 0, part);
                        } else {
                            write(output, reply(request));
                        }
                    });
            assertThat(request("p", TIMEOUT_MILLIS)).as("cut at %d", cut).isEqualTo("p");
            String next;
            try {
                next = request("q", 300);
            } catch (CompletionException e) {
                assertThat(e).hasCauseInstanceOf(PeerException.class);
                continue;
            }
            assertThat(next).as("cut at %d", cut).isEqualTo("q");
        }
    }
}
