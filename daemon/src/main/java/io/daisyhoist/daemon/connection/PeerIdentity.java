package io.daisyhoist.daemon.connection;

import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.Names;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.Hello;

/**
 * What a process states about itself in {@code Hello}. Immutable.
 *
 * @param cluster name of the deployment; processes of another one are refused
 * @param process the process
 */
public record PeerIdentity(String cluster, ProcessId process) {
    /** Version of the messages; peers of another version are refused. */
    public static final int PROTOCOL_VERSION = 1;

    Envelope hello() {
        return Envelope.newBuilder()
                .setHello(Hello.newBuilder()
                        .setCluster(cluster)
                        .setDaemon(process.daemon().name())
                        .setIncarnation(process.incarnation())
                        .setProtocolVersion(PROTOCOL_VERSION))
                .build();
    }

    /** Returns the process that the other side states, after checking that it belongs to the same deployment. */
    ProcessId requireCompatible(Envelope message) {
        if (!message.hasHello()) {
            throw new PeerProtocolException("expected hello, got " + message.getBodyCase());
        }
        Hello hello = message.getHello();
        if (!hello.getCluster().equals(cluster)) {
            throw new PeerProtocolException("other cluster");
        }
        if (hello.getProtocolVersion() != PROTOCOL_VERSION) {
            throw new PeerProtocolException("protocol version " + hello.getProtocolVersion());
        }
        if (!Names.isValid(hello.getDaemon())) {
            throw new PeerProtocolException("invalid daemon id");
        }
        return new ProcessId(new DaemonId(hello.getDaemon()), hello.getIncarnation());
    }
}
