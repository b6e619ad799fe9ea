package org.heathercourse.daemon.config;

import java.util.function.Consumer;
import org.heathercourse.core.config.DeploymentConfig;

/** A configuration that a test sets; empty and fresh at first. Not thread-safe. */
final class FakeConfigSource implements ConfigSource {
    private DeploymentConfig mConfig = DeploymentConfig.empty();
    private boolean mFresh = true;

    void setConfig(DeploymentConfig config) {
        mConfig = config;
    }

    void setFresh(boolean fresh) {
        mFresh = fresh;
    }

    @Override
    public DeploymentConfig current() {
        return mConfig;
    }

    @Override
    public boolean isFresh() {
        return mFresh;
    }

    @Override
    public void onChange(Consumer<DeploymentConfig> listener) {
        listener.accept(mConfig);
    }
}
