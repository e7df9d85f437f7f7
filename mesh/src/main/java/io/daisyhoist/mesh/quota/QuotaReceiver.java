package io.daisyhoist.mesh.quota;

import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.daemon.connection.PeerHandler;
import io.daisyhoist.daemon.connection.PeerReply;
import io.daisyhoist.wire.proto.Envelope;
import io.vertx.core.Context;

/** Handles the quota messages of other daemons and passes all other messages on. May be called from any event loop. */
public final class QuotaReceiver implements PeerHandler {
    private final Context context;
    private final FleetQuota quota;
    private final PeerHandler next;

    /**
     * Creates a receiver.
     *
     * @param context traffic event loop
     * @param next handler of all other messages
     */
    public QuotaReceiver(Context context, FleetQuota quota, PeerHandler next) {
        this.context = context;
        this.quota = quota;
        this.next = next;
    }

    @Override
    public void handle(ProcessId from, Envelope message, PeerReply reply) {
        if (message.hasQuotaRequest()) {
            context.runOnContext(
                    run -> quota.handle(from, message.getQuotaRequest()).ifPresent(reply));
        } else {
            next.handle(from, message, reply);
        }
    }

    @Override
    public void onDisconnected(ProcessId from) {
        next.onDisconnected(from);
    }
}
