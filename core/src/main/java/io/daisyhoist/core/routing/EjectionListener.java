package io.daisyhoist.core.routing;

import java.time.Duration;

import io.daisyhoist.core.model.DaemonId;

/** Is told which backend servers are taken out of selection. */
public interface EjectionListener {
    /** Called when the backend server of a daemon is ejected for the given time. */
    void onEjected(DaemonId daemon, Duration duration);
}
