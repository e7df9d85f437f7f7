package io.daisyhoist.daemon.request;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.daisyhoist.core.admission.AdmissionController;
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

/** Creates and connects the components that handle the requests of one daemon. Thread-safe. */
public final class RequestPipeline {
    private final RequestRouter router;
    private final TrafficMessageHandler trafficHandler;
    private final BackendRunner runner;
    private final PartitionTransfer transfer;

    /** Requests a later version of the group record. */
    @FunctionalInterface
    public interface GroupRecordRefresher {
        /**
         * Fetches the group record from a peer; called on the traffic event loop, must not block.
         *
         * @param peer member that knows the version
         * @param version version of the record that it knows
         */
        void refresh(Member peer, long version);
    }

    /**
     * Dependencies of the request pipeline on the rest of the daemon.
     *
     * @param peers connections to other daemons
     * @param backend the local backend server
     * @param admissionController admission controller of the backend server, used by the pipeline only
     * @param selector selects backend servers for requests without a key, used by the pipeline only
     * @param peerLoads loads of the other members
     * @param recordRefresher fetches a later group record
     * @param draining whether this daemon is shutting down
     */
    public record Dependencies(
            PeerClient peers,
            BackendClient backend,
            AdmissionController admissionController,
            BackendSelector selector,
            PeerLoads peerLoads,
            GroupRecordRefresher recordRefresher,
            BooleanSupplier draining) {}

    /** Creates the components of the pipeline. */
    public RequestPipeline(TrafficContext traffic, Dependencies dependencies) {
        OwnedPartitions partitions = new OwnedPartitions(traffic.time());
        runner = new BackendRunner(
                traffic,
                dependencies.admissionController(),
                dependencies.backend(),
                new CrashSuspects(traffic.time()),
                crashReportBroadcaster(traffic, dependencies.peers()));
        LocalAdmission admission = new LocalAdmission(traffic, dependencies.draining());
        OwnerService ownerService = new OwnerService(traffic, runner, partitions, admission);
        transfer = new PartitionTransfer(traffic, dependencies.peers(), partitions);
        trafficHandler = new TrafficMessageHandler(traffic, ownerService, runner, transfer);
        RequestForwarder forwarder = new RequestForwarder(traffic, dependencies.peers(), (peer, version) -> {
            if (version > traffic.group().get().record().version()) {
                dependencies.recordRefresher().refresh(peer, version);
            }
        });
        KeylessLoadBalancer keylessBalancer =
                new KeylessLoadBalancer(dependencies.selector(), withOwnLoad(traffic, dependencies.peerLoads()));
        router = new RequestRouter(traffic, ownerService, forwarder, keylessBalancer, new RequestHedger(traffic));
    }

    private PeerLoads withOwnLoad(TrafficContext traffic, PeerLoads peerLoads) {
        return daemon -> daemon.equals(traffic.self().daemon())
                ? Optional.of(new PeerLoads.Report(runner.inFlight(), runner.limit(), Duration.ZERO))
                : peerLoads.load(daemon);
    }

    /** Returns the handler of client requests. */
    public RequestHandler router() {
        return router;
    }

    /** Returns the handler of the traffic messages of other daemons. */
    public PeerHandler trafficHandler() {
        return trafficHandler;
    }

    /** Returns the runner of the local backend server, which takes announcements and reports the load. */
    public BackendRunner runner() {
        return runner;
    }

    /** Returns the transfer of attempt records, for planned partition moves. */
    public PartitionTransfer transfer() {
        return transfer;
    }

    private static Consumer<BackendLoss> crashReportBroadcaster(TrafficContext traffic, PeerClient peers) {
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
