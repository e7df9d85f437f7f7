package io.daisyhoist.daemon.request;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.daisyhoist.core.admission.AdmissionGate;
import io.daisyhoist.core.membership.Member;
import io.daisyhoist.core.retry.BackendLoss;
import io.daisyhoist.core.retry.CrashSuspects;
import io.daisyhoist.core.retry.Fingerprint;
import io.daisyhoist.core.routing.BackendSelector;
import io.daisyhoist.daemon.connection.BackendClient;
import io.daisyhoist.daemon.connection.PeerChannel;
import io.daisyhoist.daemon.connection.PeerClient;
import io.daisyhoist.daemon.connection.PeerHandler;
import io.daisyhoist.wire.proto.CrashReport;
import io.daisyhoist.wire.proto.Envelope;

/** The parts of the request path of one daemon, connected. Thread-safe. */
public final class RequestPath {
    private final RequestRouter router;
    private final ForwardReceiver receiver;
    private final BackendRunner runner;
    private final PartitionTransfer transfer;

    /** Asks for a later group record. */
    @FunctionalInterface
    public interface RecordRefresh {
        /**
         * Fetches the group record from a peer; called on the traffic event loop, must not block.
         *
         * @param peer member that knows the version
         * @param version version of the record that it knows
         */
        void refresh(Member peer, long version);
    }

    /**
     * What the request path needs from the rest of the daemon.
     *
     * @param peers connections to other daemons
     * @param backend the local backend server
     * @param gate its gate, used by the request path only
     * @param selector chooses backend servers for requests without a key, used by the request path only
     * @param loads loads of the other members
     * @param refresh gets a later group record
     * @param draining whether this daemon is leaving
     */
    public record Collaborators(
            PeerClient peers,
            BackendClient backend,
            AdmissionGate gate,
            BackendSelector selector,
            PeerLoads loads,
            RecordRefresh refresh,
            BooleanSupplier draining) {}

    /** Connects the parts. */
    public RequestPath(TrafficContext traffic, Collaborators others) {
        OwnedPartitions partitions = new OwnedPartitions(traffic.time());
        runner = new BackendRunner(
                traffic,
                others.gate(),
                others.backend(),
                new CrashSuspects(traffic.time()),
                broadcast(traffic, others.peers()));
        LocalAdmission admission = new LocalAdmission(traffic, others.draining());
        OwnerService owner = new OwnerService(traffic, runner, partitions, admission);
        transfer = new PartitionTransfer(traffic, others.peers(), partitions);
        receiver = new ForwardReceiver(traffic, owner, runner, transfer);
        OwnerClient client = new OwnerClient(traffic, others.peers(), (peer, version) -> {
            if (version > traffic.group().get().record().version()) {
                others.refresh().refresh(peer, version);
            }
        });
        KeylessTargets keyless = new KeylessTargets(others.selector(), withOwnLoad(traffic, others.loads()));
        router = new RequestRouter(traffic, owner, client, keyless, new Hedging(traffic));
    }

    private PeerLoads withOwnLoad(TrafficContext traffic, PeerLoads others) {
        return daemon -> daemon.equals(traffic.self().daemon())
                ? Optional.of(new PeerLoads.Report(runner.inFlight(), runner.limit(), Duration.ZERO))
                : others.load(daemon);
    }

    /** Returns the handler for requests of clients. */
    public RequestHandler router() {
        return router;
    }

    /** Returns the handler for traffic messages of other daemons. */
    public PeerHandler receiver() {
        return receiver;
    }

    /** Returns the runner of the local backend server, for announcements and load. */
    public BackendRunner runner() {
        return runner;
    }

    /** Returns the transfer of attempt records, for planned moves. */
    public PartitionTransfer transfer() {
        return transfer;
    }

    private static Consumer<BackendLoss> broadcast(TrafficContext traffic, PeerClient peers) {
        return loss -> {
            Envelope report = Envelope.newBuilder()
                    .setCrashReport(CrashReport.newBuilder()
                            .setBackend(loss.backend())
                            .setBackendIncarnation(loss.incarnation())
                            .addAllFingerprints(loss.inFlight().stream()
                                    .map(Fingerprint::value)
                                    .toList()))
                    .build();
            traffic.group().get().record().members().stream()
                    .filter(member -> !member.session().process().equals(traffic.self()))
                    .forEach(member -> peers.send(member.peer(), PeerChannel.TRAFFIC, report));
        };
    }
}
