package org.heathercourse.gateway.target;

/** Ignores the events of a pool. */
final class NoPoolEvents implements TargetPool.PoolEvents {
    @Override
    public void onConnect() {}

    @Override
    public void onConnectFailed() {}

    @Override
    public void onResponseSkipped() {}

    @Override
    public void onUnexpectedBytes() {}
}
