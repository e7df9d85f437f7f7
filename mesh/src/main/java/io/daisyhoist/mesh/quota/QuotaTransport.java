package io.daisyhoist.mesh.quota;

import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.wire.proto.Envelope;
import io.vertx.core.Future;

/** Sends a quota message to another daemon. Implementations are confined to the traffic event loop. */
@FunctionalInterface
public interface QuotaTransport {
    /** Returns the reply, or a failure within a bounded time. */
    Future<Envelope> call(FleetMember lender, Envelope message);
}
