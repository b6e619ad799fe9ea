package org.heathercourse.daemon.call;

import java.time.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.daemon.call.TargetSelector.Choice;

/**
 * Bounded in-memory log of the latest decisions of this daemon on calls of programs. Calls without
 * a program are not logged.
 *
 * <p>A full log drops its oldest decision. Safe for use by several threads; does not block.
 */
@Singleton
public final class DecisionLog {
    /** Maximum number of decisions kept; with texts of maximum length they take 3 MB. */
    public static final int CAPACITY = 4_096;

    private static final int MAX_TEXT_CHARS = 300;

    private final Clock mClock;
    private final Deque<Decision> mDecisions = new ArrayDeque<>();

    /**
     * Creates an empty log.
     *
     * @param clock wall clock for the timestamps of decisions
     */
    @Inject
    public DecisionLog(Clock clock) {
        mClock = clock;
    }

    /** Records that an attempt is sent to a target. */
    void recordPlaced(CallRequest call, Choice choice) {
        if (!call.ephemeral()) {
            add(
                    new Decision(
                            mClock.millis(),
                            call.program().value(),
                            call.request().value(),
                            nameOf(call.workspace()),
                            Decision.Outcome.PLACED,
                            choice.target().target().value(),
                            choice.priority(),
                            choice.expectedMillis(),
                            choice.cachedTokens(),
                            "",
                            ""));
        }
    }

    /**
     * Records that a call waits.
     *
     * @param call the call
     * @param callsAhead number of earlier calls of its program that have not ended
     */
    void recordQueued(CallRequest call, int callsAhead) {
        String reason = "waits for " + callsAhead + " earlier calls of the program";
        add(
                withoutTarget(
                        call.program().value(),
                        call.request().value(),
                        call.workspace(),
                        Decision.Outcome.QUEUED,
                        "",
                        reason));
    }

    /**
     * Records a refusal or a failure; ignores calls without a program and reads of earlier answers.
     */
    void recordRefused(CallRequest call, HeathercourseException error) {
        if (!call.ephemeral() && call.kind() != CallRequest.Kind.ATTACH) {
            recordRefused(call.program().value(), call.request().value(), call.workspace(), error);
        }
    }

    /**
     * Records a refusal.
     *
     * @param program identity of the program as sent by the caller
     * @param request identity of the request as sent by the caller; null if there is none
     * @param workspace workspace of the caller; null on routes open to all
     * @param error reason of the refusal
     */
    public void recordRefused(
            String program, String request, WorkspaceId workspace, HeathercourseException error) {
        add(
                withoutTarget(
                        program,
                        request,
                        workspace,
                        Decision.Outcome.REFUSED,
                        error.kind().wireName(),
                        error.getMessage()));
    }

    private Decision withoutTarget(
            String program,
            String request,
            WorkspaceId workspace,
            Decision.Outcome outcome,
            String errorKind,
            String reason) {
        return new Decision(
                mClock.millis(),
                truncate(program),
                truncate(request),
                nameOf(workspace),
                outcome,
                "",
                0,
                0,
                0,
                errorKind,
                truncate(reason));
    }

    private static String nameOf(WorkspaceId workspace) {
        return workspace == null ? "" : workspace.value();
    }

    private static String truncate(String text) {
        String nonNull = text == null ? "" : text;
        return nonNull.length() <= MAX_TEXT_CHARS ? nonNull : nonNull.substring(0, MAX_TEXT_CHARS);
    }

    private void add(Decision decision) {
        synchronized (mDecisions) {
            if (mDecisions.size() == CAPACITY) {
                mDecisions.removeFirst();
            }
            mDecisions.addLast(decision);
        }
    }

    /**
     * Returns the latest decisions on the calls of a program, oldest first.
     *
     * @param program identity of the program
     * @param limit maximum number of decisions to return
     */
    public List<Decision> findByProgram(String program, int limit) {
        List<Decision> found = new ArrayList<>();
        synchronized (mDecisions) {
            Iterator<Decision> newestFirst = mDecisions.descendingIterator();
            while (newestFirst.hasNext() && found.size() < limit) {
                Decision decision = newestFirst.next();
                if (decision.program().equals(program)) {
                    found.add(decision);
                }
            }
        }
        Collections.reverse(found);
        return found;
    }
}
