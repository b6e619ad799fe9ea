package org.heathercourse.gateway.call;

import java.util.Locale;

/** Why a turn was refused because of its history. */
enum HistoryRefusal {
    /** No error. */
    NONE,
    /** The turn to continue certainly does not exist in the caller's workspace. */
    UNKNOWN_TURN,
    /** The store is known not to reply, so that the end of the turn could not be kept. */
    STORE_AWAY,
    /** The history could not be read. */
    READ_FAILED,
    /** The history was not read in time. */
    READ_LATE,
    /** The history and the new input are larger than the setting allows. */
    TOO_LARGE,
    /** The gateway has no memory left for the history. */
    NO_MEMORY;

    /** Returns the name in logs and metrics. */
    String logName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
