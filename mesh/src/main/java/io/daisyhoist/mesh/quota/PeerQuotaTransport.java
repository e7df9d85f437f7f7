package io.daisyhoist.mesh.quota;

import java.time.Duration;

import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.daemon.connection.PeerChannel;
import io.daisyhoist.daemon.connection.PeerClient;
import io.daisyhoist.wire.proto.Envelope;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;

/** Sends quota messages over the connections of the request path. Completes calls on the traffic event loop. */
public final class PeerQuotaTransport implements QuotaTransport {
    /** A loan that arrives later has lapsed, or nearly so. */
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(300);

    private final Context context;
    private final PeerClient peerClient;

    /** Creates a transport on the traffic event loop. */
    public PeerQuotaTransport(Context context, PeerClient peerClient) {
        this.context = context;
        this.peerClient = peerClient;
    }

    @Override
    public Future<Envelope> call(FleetMember lender, Envelope message) {
        Promise<Envelope> result = Promise.promise();
        peerClient
                .call(lender.peerAddress(), PeerChannel.TRAFFIC, message, CALL_TIMEOUT)
                .whenComplete((reply, failure) -> context.runOnContext(run -> {
                    if (failure == null) {
                        result.complete(reply);
                    } else {
                        result.fail(failure);
                    }
                }));
        return result.future();
    }
}
