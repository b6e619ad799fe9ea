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
 * The last decisions of this daemon on calls of programs. Calls without a program leave none.
 *
 * <p>Bounded: the oldest decisions are forgotten. Safe for use by several threads; does not block.
 */
@Singleton
public final class DecisionLog {
    /** Most decisions that are kept; with texts of the greatest length they take 3 MB. */
    public static final int CAPACITY = 4_096;

    private static final int MAX_TEXT = 300;

    private final Clock mClock;
    private final Deque<Decision> mDecisions = new ArrayDeque<>();

    /**
     * Creates an empty log.
     *
     * @param clock wall clock that dates decisions
     */
    @Inject
    public DecisionLog(Clock clock) {
        mClock = clock;
    }

    void recordPlaced(CallRequest call, Choice choice) {
        if (!call.ephemeral()) {
            add(
                    new Decision(
                            mClock.millis(),
                            call.program().value(),
                            call.request().value(),
                            name(call.workspace()),
                            Decision.Outcome.PLACED,
                            choice.target().target().value(),
                            choice.priority(),
                            choice.expectedMillis(),
                            choice.cachedTokens(),
                            "",
                            ""));
        }
    }

    void recordQueued(CallRequest call, int ahead) {
        String reason = "waits for " + ahead + " earlier calls of the program";
        add(
                other(
                        call.program().value(),
                        call.request().value(),
                        call.workspace(),
                        Decision.Outcome.QUEUED,
                        "",
                        reason));
    }

    void recordRefused(CallRequest call, HeathercourseException error) {
        if (!call.ephemeral() && call.kind() != CallRequest.Kind.ATTACH) {
            recordRefused(call.program().value(), call.request().value(), call.workspace(), error);
        }
    }

    /**
     * Notes a refusal.
     *
     * @param program identity of the program as the caller gave it
     * @param request identity of the request as the caller gave it; null if there is none
     * @param workspace workspace of the caller; null on routes open to all
     * @param error why the call was refused
     */
    public void recordRefused(
            String program, String request, WorkspaceId workspace, HeathercourseException error) {
        add(
                other(
                        program,
                        request,
                        workspace,
                        Decision.Outcome.REFUSED,
                        error.kind().wireName(),
                        error.getMessage()));
    }

    private Decision other(
            String program,
            String request,
            WorkspaceId workspace,
            Decision.Outcome outcome,
            String errorKind,
            String reason) {
        return new Decision(
                mClock.millis(),
                cut(program),
                cut(request),
                name(workspace),
                outcome,
                "",
                0,
                0,
                0,
                errorKind,
                cut(reason));
    }

    private static String name(WorkspaceId workspace) {
        return workspace == null ? "" : workspace.value();
    }

    private static String cut(String text) {
        String given = text == null ? "" : text;
        return given.length() <= MAX_TEXT ? given : given.substring(0, MAX_TEXT);
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
     * Returns the last decisions on the calls of a program, the oldest first.
     *
     * @param program identity of the program
     * @param limit most decisions to return
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
