package io.daisyhoist.daemon.process;

import java.util.random.RandomGenerator;

import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.connection.PeerClient;
import io.daisyhoist.daemon.connection.PlatformStore;

/**
 * What the control loops share. Immutable; {@code random} is used on the control thread only.
 *
 * @param self this run of the daemon
 * @param time clock
 * @param random source of jitter
 * @param control thread of all control state
 * @param store platform's store
 * @param peers connections to other daemons
 */
record ControlContext(
        ProcessId self,
        TimeSource time,
        RandomGenerator random,
        ControlThread control,
        PlatformStore store,
        PeerClient peers) {}
