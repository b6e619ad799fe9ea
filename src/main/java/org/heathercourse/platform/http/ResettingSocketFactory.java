package org.heathercourse.platform.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import javax.net.SocketFactory;

/**
 * Creates sockets that reset their connection when they are closed. A connection that was closed in
 * order would occupy its local port for a minute, and connections of one exchange each to one store
 * could then occupy all ports. Immutable and safe for use by several threads.
 */
final class ResettingSocketFactory extends SocketFactory {
    private static Socket withReset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        return socket;
    }

    @Override
    public Socket createSocket() throws IOException {
        return withReset(new Socket());
    }

    @Override
    public Socket createSocket(String host, int port) throws IOException {
        return withReset(new Socket(host, port));
    }

    @Override
    public Socket createSocket(String host, int port, InetAddress localHost, int localPort)
            throws IOException {
        return withReset(new Socket(host, port, localHost, localPort));
    }

    @Override
    public Socket createSocket(InetAddress host, int port) throws IOException {
        return withReset(new Socket(host, port));
    }

    @Override
    public Socket createSocket(
            InetAddress address, int port, InetAddress localAddress, int localPort)
            throws IOException {
        return withReset(new Socket(address, port, localAddress, localPort));
    }
}
