package org.heathercourse.platform.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.IntFunction;

/** Answers each request with bytes that a test gives, on connections that it may keep open. */
final class ScriptedHttpServer implements AutoCloseable {
    private final ServerSocket mServer;
    private final IntFunction<String> mAnswers;
    private final boolean mKeepsConnections;
    private int mRequestCount;

    /**
     * Opens a server.
     *
     * @param keepsConnections whether a connection stays open after an answer
     * @param answers returns the bytes that answer the request with a number, counted from 1
     */
    ScriptedHttpServer(boolean keepsConnections, IntFunction<String> answers) {
        mKeepsConnections = keepsConnections;
        mAnswers = answers;
        try {
            mServer = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        run(this::accept);
    }

    private static void run(Runnable task) {
        Thread thread = new Thread(task, "scripted-http-server");
        thread.setDaemon(true);
        thread.start();
    }

    String baseUrl() {
        return "http://127.0.0.1:" + mServer.getLocalPort();
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket socket = mServer.accept();
                run(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader input =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.ISO_8859_1));
            do {
                readRequest(input);
                String answer = mAnswers.apply(nextNumber());
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().flush();
            } while (mKeepsConnections);
        } catch (IOException e) {
            // The client has closed the connection.
        }
    }

    private synchronized int nextNumber() {
        return ++mRequestCount;
    }

    private static void readRequest(BufferedReader input) throws IOException {
        int length = 0;
        for (String line = input.readLine(); line == null || !line.isEmpty(); ) {
            if (line == null) {
                throw new IOException("the client has closed the connection");
            }
            if (line.toLowerCase().startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(15).trim());
            }
            line = input.readLine();
        }
        for (int i = 0; i < length; i++) {
            input.read();
        }
    }

    @Override
    public void close() {
        try {
            mServer.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
