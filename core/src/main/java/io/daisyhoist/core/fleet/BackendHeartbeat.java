package io.daisyhoist.core.fleet;

import java.time.Duration;
import java.util.List;

import io.daisyhoist.core.keyrange.HeldRange;
import io.daisyhoist.core.keyrange.ReleasedRange;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ServiceName;

/**
 * What a backend server says of itself at one moment. Immutable.
 *
 * @param life its process
 * @param sequence rises with each heartbeat of one process
 * @param address where it accepts requests
 * @param service the service that it belongs to
 * @param slots requests that it runs at once
 * @param draining whether it has announced that it leaves
 * @param coldRemaining how much longer it stays cold
 * @param holds key ranges that it holds or still works on
 * @param released key ranges given up since its last acknowledged heartbeat
 */
public record BackendHeartbeat(
        BackendLife life,
        long sequence,
        Endpoint address,
        ServiceName service,
        int slots,
        boolean draining,
        Duration coldRemaining,
        List<HeldRange> holds,
        List<ReleasedRange> released) {
    /** Copies the lists. */
    public BackendHeartbeat {
        holds = List.copyOf(holds);
        released = List.copyOf(released);
    }
}
