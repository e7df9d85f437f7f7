package io.daisyhoist.core.fleet;

import java.time.Duration;
import java.util.List;

import io.daisyhoist.core.keyrange.HeldRange;
import io.daisyhoist.core.keyrange.ReleasedRange;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ServiceName;

/**
 * Heartbeat in which a backend server reports its state. Immutable.
 *
 * @param process process of the backend server
 * @param sequence sequence number, increasing with each heartbeat of one process
 * @param address endpoint at which it accepts requests
 * @param service service to which it belongs
 * @param slots number of requests that it runs concurrently
 * @param draining whether it has announced its shutdown
 * @param coldRemaining time left until it is warm
 * @param heldRanges key ranges that it holds or is still serving
 * @param releasedRanges key ranges released since its last acknowledged heartbeat
 */
public record BackendHeartbeat(
        BackendProcessId process,
        long sequence,
        Endpoint address,
        ServiceName service,
        int slots,
        boolean draining,
        Duration coldRemaining,
        List<HeldRange> heldRanges,
        List<ReleasedRange> releasedRanges) {
    public BackendHeartbeat {
        heldRanges = List.copyOf(heldRanges);
        releasedRanges = List.copyOf(releasedRanges);
    }
}
