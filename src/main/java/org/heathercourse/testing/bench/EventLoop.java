package org.heathercourse.testing.bench;

import java.util.PriorityQueue;

/** Runs events in the order of a paused clock. Not safe for several threads. */
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

    /** Runs an action after a delay; equal times keep the order in which they were given. */
    void after(double delayMillis, Runnable action) {
        at(mNowMicros + Math.round(Math.max(0, delayMillis) * 1000), action);
    }

    void at(long atMicros, Runnable action) {
        mEvents.add(new Event(Math.max(mNowMicros, atMicros), mSequence++, action));
    }

    /** Runs the next event; returns false if there is none before the end. */
    boolean step(long endMicros) {
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
