package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;

import io.daisyhoist.core.client.ConnectionBounds;
import io.daisyhoist.core.customer.ApiKeyCheck;
import io.daisyhoist.core.customer.ApiKeyHash;
import io.daisyhoist.core.customer.CustomerBounds;
import io.daisyhoist.core.customer.CustomerTable;
import io.daisyhoist.core.fleet.BackendHeartbeat;
import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.keyrange.GrantedRange;
import io.daisyhoist.core.keyrange.HeldRange;
import io.daisyhoist.core.keyrange.KeyLeases;
import io.daisyhoist.core.keyrange.KeyRange;
import io.daisyhoist.core.keyrange.KeyRanges;
import io.daisyhoist.core.keyrange.ReleasedRange;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.route.FleetConfig;
import io.daisyhoist.daemon.connection.PeerReply;
import io.daisyhoist.mesh.store.MetadataStore;
import io.daisyhoist.mesh.store.OperatorDocuments;
import io.daisyhoist.mesh.telemetry.FleetMetrics;
import io.daisyhoist.wire.proto.Envelope;

/** Simulated instance: the control state of a daemon, and its backend server, which holds the granted keys. */
final class SimulatedInstance {
    static final ServiceName SERVICE = new ServiceName("archive");
    private static final CustomerBounds BOUNDS =
            new CustomerBounds(Optional.of(Duration.ofSeconds(5)), Duration.ofSeconds(5), 0.1, 20);

    private static final Duration HEARTBEAT = Duration.ofMillis(870);
    private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(1);

    /** The clock of the backend server is slow, so that it holds keys longer than granted. */
    private static final double SLOW_CLOCK = 1.02;

    private final Network network;
    private final Simulation simulation;
    private final OperatorDocuments documents;
    private final SimulatedStore.Client client;
    private final MetadataStore store;
    private final DaemonId daemon;
    private final FleetSettings settings;
    private Simulation.Process process;
    private FleetControl control;
    private Optional<Backend> backend = Optional.empty();
    private int starts;

    /** Simulated network between daemons. */
    interface Network {
        /** Delivers or drops a message. */
        void deliver(DaemonId receiver, Envelope message);

        /** Delivers a question and its answer, or drops one of them, after which the answer never completes. */
        default CompletableFuture<Envelope> ask(DaemonId receiver, Envelope question) {
            return new CompletableFuture<>();
        }
    }

    SimulatedInstance(
            Simulation simulation, SimulatedStore store, OperatorDocuments documents, int index, Network network) {
        this(simulation, store.client(), UnaryOperator.identity(), documents, index, network);
    }

    /**
     * Creates an instance with a running daemon and a running backend server.
     *
     * @param wrapper wraps the connection to the store
     */
    SimulatedInstance(
            Simulation simulation,
            SimulatedStore.Client client,
            UnaryOperator<MetadataStore> wrapper,
            OperatorDocuments documents,
            int index,
            Network network) {
        this.network = network;
        this.simulation = simulation;
        this.documents = documents;
        this.client = client;
        this.store = wrapper.apply(client);
        this.daemon = new DaemonId("daemon-" + index);
        Endpoint address = new Endpoint("10.0.0." + (index + 1), 1000);
        this.settings = new FleetSettings(
                daemon,
                new AvailabilityZone("zone-" + index % 3),
                SERVICE,
                address,
                address,
                address,
                address,
                address,
                new FleetBounds(
                        Duration.ofSeconds(6),
                        Duration.ofSeconds(10),
                        HEARTBEAT,
                        Duration.ofSeconds(1),
                        0.2,
                        50,
                        Duration.ofSeconds(10),
                        1.5,
                        5,
                        BOUNDS),
                ConnectionBounds.DEFAULT);
        startDaemon();
        startBackend();
    }

    DaemonId daemon() {
        return daemon;
    }

    SimulatedStore.Client store() {
        return client;
    }

    /** Returns the version of the configuration in force; -1 before the first one. */
    long configVersion() {
        return control.fleet().config().map(FleetConfig::version).orElse(-1L);
    }

    /** Returns whether the daemon takes a process for a backend server that accepts requests. */
    boolean isUsing(BackendProcessId candidate) {
        return control.fleet().members().values().stream()
                .flatMap(member -> member.acceptingBackend().stream())
                .anyMatch(used -> used.process().equals(candidate));
    }

    /** Announces the shutdown of the backend server, which goes on sending heartbeats; returns its process. */
    BackendProcessId announceLeaving(Runnable onAcknowledged) {
        BackendProcessId leaving = backend.orElseThrow().backendProcess;
        control.onLeaving(leaving.id(), OptionalLong.of(leaving.startedMillis()))
                .thenRun(onAcknowledged);
        return leaving;
    }

    /** Returns whether the daemon watches the store itself. */
    boolean isWatching() {
        return control.isWatchingStore();
    }

    Simulation.Process process() {
        return process;
    }

    Optional<Backend> backend() {
        return backend;
    }

    void startDaemon() {
        starts++;
        process = simulation.process();
        client.restart();
        control = new FleetControl(
                settings,
                starts,
                new FleetControl.Dependencies(process, process, store, documents, new Peers(), new FleetMetrics()));
        control.start();
    }

    private final class Peers implements FleetControl.PeerSender {
        @Override
        public void send(List<FleetMember> receivers, Envelope message) {
            receivers.forEach(member -> network.deliver(member.daemon(), message));
        }

        @Override
        public CompletableFuture<Envelope> call(FleetMember receiver, Envelope question, Duration timeout) {
            CompletableFuture<Envelope> answer = network.ask(receiver.daemon(), question);
            process.scheduleOnce(() -> answer.completeExceptionally(new IllegalStateException("timeout")), timeout);
            return answer;
        }
    }

    /** Answers a question of another daemon. */
    void answer(Envelope question, PeerReply reply) {
        control.peerMessageListener().onConfigQuestion(question.getConfigFetch(), reply);
    }

    /** Returns the age of the proof that the configuration is the newest one. */
    Optional<Duration> proofAge() {
        return control.configConfirmation().age();
    }

    /** Checks an API key as the daemon does for a request of a client at this moment. */
    ApiKeyCheck.Verdict check(String apiKey) {
        Optional<CustomerTable> customers = control.fleet().config().map(FleetConfig::customers);
        if (process.isFrozen() || customers.isEmpty()) {
            return ApiKeyCheck.Verdict.UNCONFIRMED;
        }
        return new ApiKeyCheck(control.configConfirmation(), () -> customers)
                .check(customers.get(), ApiKeyHash.ofKey(apiKey));
    }

    /** Handles a message of another daemon. */
    void receive(Envelope message) {
        if (message.hasFleetLoad()) {
            control.peerMessageListener().onLoad(message.getFleetLoad());
        } else if (message.hasOperatorItems()) {
            control.peerMessageListener().onOperatorItems(message.getOperatorItems());
        } else if (message.hasStoreChanges()) {
            control.peerMessageListener().onStoreChanges(message.getStoreChanges());
        }
    }

    /** Records a request if the backend server holds its key; the recorded load drives rebalancing. */
    void recordRequest(int key, Duration duration) {
        boolean held = backend.stream()
                .flatMap(running -> running.heldRanges().stream())
                .anyMatch(heldRange -> heldRange.range().contains(key));
        if (held) {
            control.onKeyRequest(key, duration);
        }
    }

    void killDaemon() {
        process.kill();
    }

    void startBackend() {
        backend = Optional.of(
                new Backend(new BackendProcessId("backend-of-" + daemon, simulation.nowNanos() / 1_000_000)));
        backend.get().sendHeartbeat();
    }

    void crashBackend() {
        backend.ifPresent(running -> running.ended = true);
        backend = Optional.empty();
    }

    /** Simulated backend server that follows the protocol for keyed services. */
    final class Backend {
        private final BackendProcessId backendProcess;
        private final List<HeldRange> heldRanges = new ArrayList<>();
        private final List<ReleasedRange> releasedRanges = new ArrayList<>();
        private long keyLeaseEndNanos;
        private long sequence;
        private boolean ended;
        private boolean heartbeatsSuspended;

        private Backend(BackendProcessId backendProcess) {
            this.backendProcess = backendProcess;
        }

        void setHeartbeatsSuspended(boolean suspended) {
            heartbeatsSuspended = suspended;
        }

        List<HeldRange> heldRanges() {
            return keyLeaseEndNanos > simulation.nowNanos() ? heldRanges : List.of();
        }

        private void sendHeartbeat() {
            if (ended) {
                return;
            }
            if (heartbeatsSuspended || process.isKilled()) {
                simulation.at(HEARTBEAT, this::sendHeartbeat);
                return;
            }
            sequence++;
            long sentNanos = simulation.nowNanos();
            if (heldRanges().isEmpty()) {
                heldRanges.clear();
            }
            BackendHeartbeat heartbeat = new BackendHeartbeat(
                    backendProcess,
                    sequence,
                    settings.backendAddress(),
                    SERVICE,
                    6,
                    false,
                    Duration.ZERO,
                    List.copyOf(heldRanges),
                    List.copyOf(releasedRanges));
            boolean[] replied = new boolean[1];
            control.onHeartbeat(heartbeat)
                    .thenAccept(reply -> simulation.at(Duration.ofMillis(1), () -> {
                        if (!replied[0] && !ended) {
                            replied[0] = true;
                            boolean releasing = applyReply(reply, sentNanos);
                            simulation.at(releasing ? Duration.ofMillis(100) : HEARTBEAT, this::sendHeartbeat);
                        }
                    }));
            simulation.at(REPLY_TIMEOUT, () -> {
                if (!replied[0]) {
                    replied[0] = true;
                    sendHeartbeat();
                }
            });
        }

        private boolean applyReply(Optional<KeyLeases.Reply> reply, long sentNanos) {
            releasedRanges.clear();
            if (reply.isEmpty()) {
                return false;
            }
            List<HeldRange> before = List.copyOf(heldRanges());
            heldRanges.clear();
            reply.get().ranges().forEach(granted -> heldRanges.add(new HeldRange(granted.range(), granted.fence())));
            keyLeaseEndNanos = sentNanos + (long) (reply.get().leaseDuration().toNanos() * SLOW_CLOCK);
            before.forEach(held -> releaseUngranted(held.range(), reply.get().ranges()));
            return !releasedRanges.isEmpty();
        }

        private void releaseUngranted(KeyRange held, List<GrantedRange> granted) {
            List<KeyRange> rest = List.of(held);
            for (GrantedRange range : granted) {
                List<KeyRange> next = new ArrayList<>();
                rest.forEach(part -> next.addAll(KeyRanges.subtract(part, range.range())));
                rest = next;
            }
            rest.forEach(part -> releasedRanges.add(new ReleasedRange(part, "token-" + sequence)));
        }
    }
}
