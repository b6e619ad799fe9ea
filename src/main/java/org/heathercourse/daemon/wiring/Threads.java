package org.heathercourse.daemon.wiring;

import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicLong;

/** Makes named threads that do not keep the process alive. */
final class Threads {
    private Threads() {}

    static ThreadFactory named(String name) {
        AtomicLong number = new AtomicLong();
        return task -> {
            Thread thread = new Thread(task, name + "-" + number.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        };
    }
}
