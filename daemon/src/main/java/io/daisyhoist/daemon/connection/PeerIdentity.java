package io.daisyhoist.daemon.connection;

import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.Names;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.Hello;

/**
 * Identity that a process sends in {@code Hello}. Immutable.
 *
 * @param cluster name of the deployment; processes of other deployments are rejected
 * @param process the process
 */
public record PeerIdentity(String cluster, ProcessId process) {
    /** Version of the peer protocol; peers with another version are rejected. */
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

    /** Returns the process in a hello message after checking that its cluster and protocol version match. */
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
