package org.heathercourse.gateway.http;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/**
 * Maximum numbers of open connections, so that callers leave file descriptors and memory for
 * targets, the store and other gateways. Immutable.
 *
 * @param callers at the port for callers
 * @param endpoint at each of the ports for readiness, directory and metrics
 * @param handshakes at the port for peers, without a completed handshake
 */
public record ConnectionLimits(int callers, int endpoint, int handshakes) {
    /** Memory in bytes of an open connection that keeps no request, with its handlers. */
    private static final long CONNECTION_BYTES = 8 * 1024;

    /** Fraction of the heap for the connections of callers. */
    private static final long HEAP_DIVISOR = 4;

    private static final long CALLER_DIVISOR = 2;
    private static final long HANDSHAKE_DIVISOR = 8;
    private static final long ENDPOINT_DIVISOR = 16;
    private static final long MIN_CONNECTIONS = 4;

    /** Limits that are never reached. */
    public static final ConnectionLimits NONE =
            new ConnectionLimits(Integer.MAX_VALUE, Integer.MAX_VALUE, Integer.MAX_VALUE);

    /**
     * Returns the limits for a process.
     *
     * @param freeDescriptors number of file descriptors that the process can still open
     * @param maxHeapBytes maximum size of its heap in bytes
     */
    static ConnectionLimits of(long freeDescriptors, long maxHeapBytes) {
        long byHeap = maxHeapBytes / HEAP_DIVISOR / CONNECTION_BYTES;
        return new ConnectionLimits(
                bound(freeDescriptors / CALLER_DIVISOR, byHeap),
                bound(freeDescriptors / ENDPOINT_DIVISOR, byHeap / ENDPOINT_DIVISOR),
                bound(freeDescriptors / HANDSHAKE_DIVISOR, byHeap / HANDSHAKE_DIVISOR));
    }

    private static int bound(long byDescriptors, long byHeap) {
        return (int) Math.max(MIN_CONNECTIONS, Math.min(byDescriptors, byHeap));
    }

    /** Returns the limits for this process. */
    public static ConnectionLimits ofProcess() {
        long freeDescriptors = Integer.MAX_VALUE;
        if (ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean os) {
            freeDescriptors = os.getMaxFileDescriptorCount() - os.getOpenFileDescriptorCount();
        }
        return of(freeDescriptors, Runtime.getRuntime().maxMemory());
    }
}
