package io.daisyhoist.daemon.process;

import java.util.random.RandomGenerator;

import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.connection.PeerClient;
import io.daisyhoist.daemon.connection.PlatformStore;

/**
 * Dependencies shared by the control loops. Immutable; {@code random} is used on the control thread only.
 *
 * @param self identity of this daemon process
 * @param time clock
 * @param random source of jitter
 * @param controlThread executor to which all control state is confined
 * @param store the platform's key-value store
 * @param peers connections to other daemons
 */
record ControlContext(
        ProcessId self,
        TimeSource time,
        RandomGenerator random,
        ControlThread controlThread,
        PlatformStore store,
        PeerClient peers) {}
