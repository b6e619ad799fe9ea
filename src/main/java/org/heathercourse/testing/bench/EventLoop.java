package org.heathercourse.testing.bench;

import java.util.PriorityQueue;

/** Discrete-event loop with a manual clock. Not safe for use by several threads. */
final class EventLoop {
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private long mNowMicros;
    private long mSequence;

    private record Event(long atMicros, long sequence, Runnable action)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMicros, other.atMicros);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /**
     * Schedules an action after a delay; actions at the same time run in the order of scheduling.
     */
    void scheduleAfter(double delayMillis, Runnable action) {
        schedule(mNowMicros + Math.round(Math.max(0, delayMillis) * 1000), action);
    }

    /** Schedules an action at a time, or at the current time if that has passed. */
    void schedule(long atMicros, Runnable action) {
        mEvents.add(new Event(Math.max(mNowMicros, atMicros), mSequence++, action));
    }

    /**
     * Advances the clock to the next event and runs it; returns false if there is none up to the
     * end.
     */
    boolean runNext(long endMicros) {
        Event event = mEvents.peek();
        if (event == null || event.atMicros() > endMicros) {
            return false;
        }
        mEvents.remove();
        mNowMicros = event.atMicros();
        event.action().run();
        return true;
    }

    long nowMicros() {
        return mNowMicros;
    }

    long nowMillis() {
        return mNowMicros / 1000;
    }
}
