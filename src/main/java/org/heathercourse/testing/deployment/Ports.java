package org.heathercourse.testing.deployment;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Finds free ports on loopback.
 *
 * <p>The ports lie below those that the system gives to outgoing connections, which could otherwise
 * take a port between its choice here and its use by a process that is started later.
 */
final class Ports {
    private static final int FIRST = 10_240;
    private static final int COUNT = 20_000;

    private Ports() {}

    /**
     * Returns ports that were free a moment ago, all different. Deployments of different processes
     * start at different places.
     *
     * @param count how many
     * @throws IllegalStateException if there are too few free ports
     */
    static List<Integer> free(int count) {
        List<Integer> ports = new ArrayList<>();
        long start = ProcessHandle.current().pid() * 997L + Thread.currentThread().getId() * 89L;
        for (int i = 0; i < COUNT && ports.size() < count; i++) {
            int port = FIRST + (int) Math.floorMod(start + i, (long) COUNT);
            if (isFree(port)) {
                ports.add(port);
            }
        }
        if (ports.size() < count) {
            throw new IllegalStateException(
                    "found " + ports.size() + " free ports on loopback, expected " + count);
        }
        return ports;
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
