package org.heathercourse.gateway;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A caller on one plain socket, for tests that control each byte sent and check each one read. */
public final class RawCaller implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 8_000;

    private final Socket mSocket = new Socket();
    private final InputStream mInput;

    /**
     * A response; its body is null if the connection ended before the body was complete, or was
     * reset.
     *
     * @param status HTTP status
     * @param headers HTTP headers by their names in lower case
     * @param body body, one character for each byte
     */
    public record Response(int status, Map<String, String> headers, String body) {
        /** Returns whether the whole body was read. */
        public boolean isComplete() {
            return body != null;
        }
    }

    RawCaller(InetSocketAddress address) throws IOException {
        this(address, 0);
    }

    /**
     * Connects to a gateway.
     *
     * @param address address for callers
     * @param receiveBufferBytes size of the socket's receive buffer in bytes; 0 for the default
     * @throws IOException if the gateway does not accept the connection
     */
    public RawCaller(InetSocketAddress address, int receiveBufferBytes) throws IOException {
        if (receiveBufferBytes > 0) {
            mSocket.setReceiveBufferSize(receiveBufferBytes);
        }
        mSocket.connect(address, TIMEOUT_MILLIS);
        mSocket.setSoTimeout(TIMEOUT_MILLIS);
        mSocket.setTcpNoDelay(true);
        mInput = mSocket.getInputStream();
    }

    /**
     * Sends a text, one byte for each character.
     *
     * @param text bytes to send
     * @throws IOException if the connection is closed
     */
    public void send(String text) throws IOException {
        mSocket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        mSocket.getOutputStream().flush();
    }

    /**
     * Returns whether bytes of a response have been received that were not read yet.
     *
     * @throws IOException if the connection is closed
     */
    public boolean hasReceivedBytes() throws IOException {
        return mInput.available() > 0;
    }

    Response call(String request) throws IOException {
        send(request);
        return readResponse();
    }

    /** Waits for the next byte; returns whether the gateway closed the connection instead. */
    boolean isClosedByPeer() throws IOException {
        return mInput.read() < 0;
    }

    String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = mInput.read(); b != '\n'; b = mInput.read()) {
            if (b < 0) {
                throw new EOFException("the connection was closed within a line");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /**
     * Reads the next response.
     *
     * @return the response, incomplete if the connection ended within its body
     * @throws IOException if the connection ended before the end of the response's head
     */
    public Response readResponse() throws IOException {
        int status = Integer.parseInt(readLine().split(" ")[1]);
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        if (status == 100) {
            return new Response(status, headers, "");
        }
        try {
            return new Response(status, headers, readBody(headers));
        } catch (IOException e) {
            return new Response(status, headers, null);
        }
    }

    private String readBody(Map<String, String> headers) throws IOException {
        if (!"chunked".equals(headers.get("transfer-encoding"))) {
            return headers.containsKey("content-length")
                    ? readBytes(Integer.parseInt(headers.get("content-length")))
                    : new String(mInput.readAllBytes(), StandardCharsets.ISO_8859_1);
        }
        StringBuilder body = new StringBuilder();
        while (true) {
            int size = Integer.parseInt(readLine(), 16);
            body.append(readBytes(size));
            readLine();
            if (size == 0) {
                return body.toString();
            }
        }
    }

    private String readBytes(int count) throws IOException {
        byte[] bytes = mInput.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the connection was closed within a body");
        }
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
