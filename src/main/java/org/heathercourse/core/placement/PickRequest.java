package org.heathercourse.core.placement;

import java.util.Objects;
import java.util.Set;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RequestClass;
import org.heathercourse.core.model.ServiceId;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.model.WorkspaceId;

/**
 * A call for which a target is requested. Immutable.
 *
 * @param program program of the call
 * @param workspace workspace of the call
 * @param service service that is called
 * @param model name of the model; empty for plain services
 * @param session name of the session whose prefix engines cache; empty if there is none
 * @param requestClass class of the call, which sets its urgency
 * @param promptTokens estimated tokens of the whole prompt
 * @param expectedTokens estimated tokens of the answer; 0 if unknown
 * @param deadlineMillis time in milliseconds until the call's deadline
 * @param epochMillis wall-clock time of arrival in milliseconds since the epoch. It only orders
 *     calls of different daemons at an engine, so a clock error of some 100 ms is harmless.
 * @param excluded targets already tried for this call
 */
public record PickRequest(
        ProgramId program,
        WorkspaceId workspace,
        ServiceId service,
        String model,
        String session,
        RequestClass requestClass,
        long promptTokens,
        long expectedTokens,
        long deadlineMillis,
        long epochMillis,
        Set<TargetId> excluded) {
    /** Checks the required identities and copies the set of targets. */
    public PickRequest {
        Objects.requireNonNull(program, "program");
        Objects.requireNonNull(workspace, "workspace");
        Objects.requireNonNull(service, "service");
        excluded = Set.copyOf(excluded);
    }

    /**
     * Returns a builder.
     *
     * @param program program of the call
     * @param workspace workspace of the call
     * @param service service that is called
     */
    public static Builder builder(ProgramId program, WorkspaceId workspace, ServiceId service) {
        return new Builder(program, workspace, service);
    }

    /** Builder of a {@link PickRequest}. Not thread-safe. */
    public static final class Builder {
        private final ProgramId mProgram;
        private final WorkspaceId mWorkspace;
        private final ServiceId mService;
        private String mModel = "";
        private String mSession = "";
        private RequestClass mRequestClass = RequestClass.INTERACTIVE;
        private long mPromptTokens;
        private long mExpectedTokens;
        private long mDeadlineMillis = -1;
        private long mEpochMillis;
        private Set<TargetId> mExcluded = Set.of();

        private Builder(ProgramId program, WorkspaceId workspace, ServiceId service) {
            mProgram = program;
            mWorkspace = workspace;
            mService = service;
        }

        /** Sets the name of the model; the default is empty, for plain services. */
        public Builder model(String model) {
            mModel = model;
            return this;
        }

        /** Sets the session whose prefix engines cache; the default is none. */
        public Builder session(String session) {
            mSession = session;
            return this;
        }

        /** Sets the request class; the default is {@link RequestClass#INTERACTIVE}. */
        public Builder requestClass(RequestClass requestClass) {
            mRequestClass = requestClass;
            return this;
        }

        /** Sets the estimated tokens of the whole prompt. */
        public Builder promptTokens(long promptTokens) {
            mPromptTokens = promptTokens;
            return this;
        }

        /** Sets the estimated tokens of the answer; the default of 0 means unknown. */
        public Builder expectedTokens(long expectedTokens) {
            mExpectedTokens = expectedTokens;
            return this;
        }

        /** Sets the milliseconds until the deadline; the default is that of the request class. */
        public Builder deadlineMillis(long deadlineMillis) {
            mDeadlineMillis = deadlineMillis;
            return this;
        }

        /** Sets the wall-clock time of arrival in milliseconds since the epoch. */
        public Builder epochMillis(long epochMillis) {
            mEpochMillis = epochMillis;
            return this;
        }

        /** Sets the targets already tried for this call. */
        public Builder excluded(Set<TargetId> excluded) {
            mExcluded = excluded;
            return this;
        }

        /** Creates the request. */
        public PickRequest build() {
            long deadline =
                    mDeadlineMillis < 0 ? mRequestClass.defaultDeadlineMillis() : mDeadlineMillis;
            return new PickRequest(
                    mProgram,
                    mWorkspace,
                    mService,
                    mModel,
                    mSession,
                    mRequestClass,
                    mPromptTokens,
                    mExpectedTokens,
                    deadline,
                    mEpochMillis,
                    mExcluded);
        }
    }
}
