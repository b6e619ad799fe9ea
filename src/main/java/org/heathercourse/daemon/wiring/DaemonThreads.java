package org.heathercourse.daemon.wiring;

import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicLong;

/** Creates factories of named daemon threads, which do not keep the process alive. Stateless. */
final class DaemonThreads {
    private DaemonThreads() {}

    /** Returns a factory whose threads are named with a prefix and a number. */
    static ThreadFactory factory(String namePrefix) {
        AtomicLong number = new AtomicLong();
        return task -> {
            Thread thread = new Thread(task, namePrefix + "-" + number.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        };
    }
}
