package io.daisyhoist.daemon.limits;

import io.daisyhoist.core.client.CloseReason;

/** Counts refused requests and closed connections. */
@FunctionalInterface
public interface RefusalListener {
    /** Called when a request is refused, or a connection closed, for a reason. */
    void onRefused(CloseReason reason);
}
