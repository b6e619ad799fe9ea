package org.heathercourse.gateway.http;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.heathercourse.gateway.http.ClosedConnections.Cause;

/**
 * The open connections of a port, whose number is bounded. A new connection beyond the bound takes
 * the place of the one that has waited longest without a complete request, so that silent callers
 * do not lock out others. Confined to the traffic loop.
 *
 * @param <C> type of the connections
 */
final class OpenConnections<C extends OpenConnections.Connection> {
    /** A connection of a caller. */
    interface Connection {
        /** Returns whether no complete request is being answered. */
        boolean isReplaceable();

        /**
         * Returns whether it has no complete request, so that it may be closed if all others run.
         */
        boolean isReceiving();

        /** Closes the connection. */
        void close();
    }

    private final int mMaxCount;
    private final ClosedConnections mClosed;
    private final Set<C> mConnections = new LinkedHashSet<>();

    /**
     * Creates an empty set.
     *
     * @param maxCount maximum number of connections
     * @param closed records the connections that are closed
     */
    OpenConnections(int maxCount, ClosedConnections closed) {
        mMaxCount = maxCount;
        mClosed = closed;
    }

    /** Adds a connection, and closes one if there are too many, which may be the new one. */
    void add(C connection) {
        C surplus = null;
        if (mConnections.size() >= mMaxCount) {
            surplus =
                    mConnections.stream()
                            .filter(Connection::isReplaceable)
                            .findFirst()
                            .or(this::firstReceiving)
                            .orElse(connection);
        }
        mConnections.add(connection);
        if (surplus != null) {
            mConnections.remove(surplus);
            mClosed.record(Cause.CONNECTIONS);
            surplus.close();
        }
    }

    private Optional<C> firstReceiving() {
        return mConnections.stream().filter(Connection::isReceiving).findFirst();
    }

    /** Records that a connection has had a complete request. */
    void onRequestEnded(C connection) {
        if (mConnections.remove(connection)) {
            mConnections.add(connection);
        }
    }

    void remove(C connection) {
        mConnections.remove(connection);
    }

    Stream<C> stream() {
        return mConnections.stream();
    }

    /** Returns the connections that are open now. */
    List<C> copy() {
        return List.copyOf(mConnections);
    }
}
