package org.heathercourse.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.heathercourse.platform.rows.StoreChannel;
import org.heathercourse.platform.rows.StoreChannel.Reply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a reply of the store, or a part of one, that is taken for another's reply. */
class StoreReplyMatchTest {
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final long SHORT_TIMEOUT_MILLIS = 200;

    /** Time in milliseconds for which a stand-in waits for the close of its connection. */
    private static final int CLOSE_WAIT_MILLIS = 200;

    private static final String FIRST_REPLY = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
    private static final String COPY =
            "HTTP/1.1 200 OK\r\nX-Copy: true\r\nContent-Length: 5\r\n\r\nfirst";
    private static final String SECOND_REPLY =
            "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 6\r\n\r\nsecond";

    /** Ends a script after which the stand-in closes the connection. */
    private static final String END_OF_HEAD = "\r\n\r\n";

    private static final String END_OF_CONNECTION = "<end>";

    private static final StoreChannel.Request READ =
            new StoreChannel.Request("GET", "/api/rows-get?table=t&part=", new byte[0]);

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ScriptedStore mStore = new ScriptedStore();
    private final DirectChannel mChannel =
            new DirectChannel(new InetSocketAddress("127.0.0.1", mStore.port()), mGroup.next());

    @AfterEach
    void stop() throws IOException {
        mGroup.shutdownGracefully();
        mStore.close();
    }

    private Reply read() {
        return mChannel.send(READ, TIMEOUT_MILLIS).join();
    }

    private static void assertSecond(Reply reply) {
        assertThat(reply.status()).isEqualTo(412);
        assertThat(text(reply)).isEqualTo("second");
    }

    private static String text(Reply reply) {
        return new String(reply.body(), StandardCharsets.US_ASCII);
    }

    /** Guards against the start of a copy that stays in the decoder of an idle connection. */
    @Test
    void bytesOnIdleConnectionAreNoPartOfTheNextReply() throws InterruptedException {
        for (int length = 1; length <= COPY.length(); length++) {
            mStore.replyWith(FIRST_REPLY);
            assertThat(text(read())).isEqualTo("first");
            mStore.writeToLastConnection(COPY.substring(0, length));
            mStore.replyWith(SECOND_REPLY);
            assertSecond(read());
        }
    }

    /** Guards against the start of a copy that arrives in one read with the end of a reply. */
    @Test
    void bytesBehindReplyAreNoPartOfTheNextReply() {
        for (int length = 1; length <= COPY.length(); length++) {
            mStore.replyWith(FIRST_REPLY + COPY.substring(0, length));
            mStore.replyWith(SECOND_REPLY);
            assertThat(text(read())).isEqualTo("first");
            assertSecond(read());
        }
    }

    /** Guards against a copy that is taken for the reply to a request sent upon the first reply. */
    @Test
    void copyBehindReplyIsNoReplyToRequestSentAtOnce() {
        for (int length = 1; length <= COPY.length(); length++) {
            mStore.replyWith(FIRST_REPLY + COPY.substring(0, length));
            mStore.replyWith(SECOND_REPLY);
            assertSecond(
                    mChannel.send(READ, TIMEOUT_MILLIS)
                            .thenCompose(first -> mChannel.send(READ, TIMEOUT_MILLIS))
                            .join());
        }
    }

    /** Guards against a refused commit that reads as a success: status of a copy, body of a 412. */
    @Test
    void startOfCopyBeforeReplyDoesNotChangeItsStatus() {
        int headBytes = COPY.indexOf(END_OF_HEAD) + END_OF_HEAD.length();
        for (int length = 1; length < headBytes; length++) {
            mStore.replyWith(COPY.substring(0, length) + SECOND_REPLY);
            Integer status =
                    mChannel.send(READ, TIMEOUT_MILLIS)
                            .handle((reply, error) -> error == null ? reply.status() : null)
                            .join();
            assertThat(status).as("after %d bytes of a copy", length).isIn(null, 412);
        }
    }

    /** Guards against an interim response that ends a request whose reply then is the next's. */
    @Test
    void interimResponseIsNoReply() {
        for (String interim : new String[] {"100 Continue", "102 Processing", "103 Early Hints"}) {
            mStore.replyWith("HTTP/1.1 " + interim + "\r\nX-Hint: true\r\n\r\n" + FIRST_REPLY);
            mStore.replyWith(SECOND_REPLY);
            Reply first = read();
            assertThat(first.status()).isEqualTo(200);
            assertThat(text(first)).isEqualTo("first");
            assertSecond(read());
        }
    }

    /** Guards against a body longer than its length, or one where none belongs. */
    @Test
    void restOfBodyWithWrongLengthIsNoPartOfTheNextReply() {
        String[] replies = {
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst and more",
            "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\nX-Rest: ",
            "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\nHTTP/1.1 200 OK\r\nX-Rest: ",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n0\r\n\r\n",
        };
        for (String reply : replies) {
            mStore.replyWith(reply);
            mStore.replyWith(SECOND_REPLY);
            read();
            assertSecond(read());
        }
    }

    /** Guards against a reply that arrives after its timeout and is taken for the next one's. */
    @Test
    void replyAfterTimeoutIsNoReplyToTheNextRequest() throws InterruptedException {
        mStore.replyWith("");
        assertThatThrownBy(() -> mChannel.send(READ, SHORT_TIMEOUT_MILLIS).join())
                .hasMessageContaining("did not reply");
        mStore.writeToLastConnection(FIRST_REPLY);
        mStore.replyWith(SECOND_REPLY);
        assertSecond(read());
    }

    /** Guards against a reply that ends early and counts as whole. */
    @Test
    void replyThatEndsEarlyIsNoReply() {
        for (int length = 1; length < FIRST_REPLY.length(); length++) {
            mStore.replyWith(FIRST_REPLY.substring(0, length) + END_OF_CONNECTION);
            assertThatThrownBy(this::read).hasMessageContaining("store");
            mStore.replyWith(SECOND_REPLY);
            assertSecond(read());
        }
    }

    /** Accepts connections and answers each request without a body with the next script. */
    private static final class ScriptedStore {
        private final BlockingQueue<String> mReplies = new LinkedBlockingQueue<>();
        private final BlockingQueue<Socket> mReplied = new LinkedBlockingQueue<>();
        private final ServerSocket mServer;

        ScriptedStore() {
            try {
                mServer = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            startThread(this::accept);
        }

        private static void startThread(Runnable work) {
            Thread thread = new Thread(work);
            thread.setDaemon(true);
            thread.start();
        }

        int port() {
            return mServer.getLocalPort();
        }

        void close() throws IOException {
            mServer.close();
        }

        /** Adds the bytes that answer the next request. */
        void replyWith(String reply) {
            mReplies.add(reply);
        }

        /** Writes to the connection of the last request; waits a short time for its close. */
        void writeToLastConnection(String bytes) throws InterruptedException {
            Socket socket = lastConnection();
            try {
                write(socket, bytes);
                long endNanos =
                        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CLOSE_WAIT_MILLIS);
                while (!socket.isClosed() && System.nanoTime() < endNanos) {
                    TimeUnit.MILLISECONDS.sleep(1);
                }
            } catch (IOException e) {
                // The channel has closed the connection before.
                assertThat(socket.isConnected()).isTrue();
            }
        }

        private Socket lastConnection() throws InterruptedException {
            Socket socket = mReplied.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            for (Socket next = socket; next != null; next = mReplied.poll()) {
                socket = next;
            }
            return socket;
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = mServer.accept();
                    startThread(() -> serve(socket));
                }
            } catch (IOException e) {
                // The stand-in was closed.
                assertThat(mServer.isClosed()).isTrue();
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                BufferedReader input =
                        new BufferedReader(
                                new InputStreamReader(
                                        socket.getInputStream(), StandardCharsets.US_ASCII));
                while (true) {
                    String line = input.readLine();
                    if (line == null) {
                        return;
                    }
                    if (line.isEmpty()) {
                        mReplied.add(socket);
                        String reply = mReplies.take();
                        write(socket, reply.replace(END_OF_CONNECTION, ""));
                        if (reply.endsWith(END_OF_CONNECTION)) {
                            return;
                        }
                    }
                }
            } catch (IOException | InterruptedException e) {
                // The channel has closed the connection.
                Thread.currentThread().interrupt();
            }
        }

        private static void write(Socket socket, String bytes) throws IOException {
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
        }
    }
}
