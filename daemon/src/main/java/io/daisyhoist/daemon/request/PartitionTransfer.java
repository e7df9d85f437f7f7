package io.daisyhoist.daemon.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.atmostonce.LedgerExport;
import io.daisyhoist.core.membership.Grant;
import io.daisyhoist.core.membership.GroupSnapshot;
import io.daisyhoist.core.membership.Member;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.daemon.connection.Certainty;
import io.daisyhoist.daemon.connection.PeerChannel;
import io.daisyhoist.daemon.connection.PeerClient;
import io.daisyhoist.daemon.connection.PeerException;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.TransferAck;
import io.daisyhoist.wire.proto.TransferAttempts;

/**
 * Sends the attempt records of a partition to its next owner, and receives them.
 *
 * <p>Records are sent only when nothing runs for the partition any more. They name the epoch that the move will have if
 * it is committed on the present record version, and are sent again when the version changes before that. Public methods
 * may be called from any thread.
 */
public final class PartitionTransfer {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration ACK_TIMEOUT = Duration.ofSeconds(2);

    /** How a hand-over ended. */
    public enum Result {
        /** Nothing runs any more and the next owner has the attempt records. */
        DONE,
        /** Failed before any record was sent. */
        FAILED,
        /** Failed after the next owner may have received records. */
        FAILED_AFTER_TRANSFER
    }

    private record Transferred(OwnedPartition owned, Member to, long version) {}

    private final TrafficContext traffic;
    private final PeerClient peers;
    private final OwnedPartitions partitions;
    private final Map<PartitionId, Transferred> uncommitted = new HashMap<>();
    private final Set<PartitionId> sending = new HashSet<>();

    PartitionTransfer(TrafficContext traffic, PeerClient peers, OwnedPartitions partitions) {
        this.traffic = traffic;
        this.peers = peers;
        this.partitions = partitions;
    }

    /**
     * Waits until nothing runs for a partition, then sends its records. The control thread must have stopped serving the
     * grant before.
     */
    public CompletionStage<Result> handOver(Grant grant, Member to) {
        CompletableFuture<Result> result = new CompletableFuture<>();
        traffic.execute(() -> {
            OwnedPartition owned = partitions.of(grant, traffic.group().get());
            owned.whenIdle().onSuccess(idle -> traffic.execute(() -> send(owned, to, result)));
        });
        return result;
    }

    /** Notes a new snapshot of the group. */
    public void onGroupChanged() {
        traffic.execute(() -> {
            GroupSnapshot group = traffic.group().get();
            partitions.retainOwned(group);
            uncommitted.keySet().removeIf(partition -> !group.handingOver().contains(partition));
            uncommitted.values().stream()
                    .filter(sent -> sent.version() != group.record().version())
                    .toList()
                    .forEach(sent -> send(sent.owned(), sent.to(), new CompletableFuture<>()));
        });
    }

    private void send(OwnedPartition owned, Member to, CompletableFuture<Result> result) {
        GroupSnapshot group = traffic.group().get();
        PartitionId partition = owned.grant().partition();
        boolean own = group.record().grant(partition).equals(Optional.of(owned.grant()));
        if (!own || owned.ledger().running() > 0 || !sending.add(partition)) {
            // The control thread has given up waiting and has changed the grant, or another transfer is under way.
            result.complete(Result.FAILED_AFTER_TRANSFER);
            return;
        }
        long version = group.record().version();
        LedgerExport export = owned.ledger().exportAndSeal(version + 1);
        uncommitted.put(partition, new Transferred(owned, to, version));
        peers.call(to.peer(), PeerChannel.TRAFFIC, TransferMessages.write(owned.grant(), export), ACK_TIMEOUT)
                .whenComplete((reply, failure) -> traffic.execute(() -> {
                    sending.remove(partition);
                    onReply(new Transferred(owned, to, version), Optional.ofNullable(reply), failure, result);
                }));
    }

    private void onReply(
            Transferred sent, Optional<Envelope> reply, Throwable failure, CompletableFuture<Result> result) {
        boolean notSent = failure instanceof PeerException known && known.certainty() == Certainty.NOT_SENT;
        if (!notSent) {
            sent.owned().markTransferred();
        }
        boolean accepted = reply.filter(Envelope::hasTransferAck)
                .map(answer -> answer.getTransferAck().getAccepted())
                .orElse(false);
        if (!accepted) {
            result.complete(onFailure(sent, failure == null ? "not accepted" : failure.getMessage()));
        } else if (sent.version() != traffic.group().get().record().version()) {
            send(sent.owned(), sent.to(), result);
        } else {
            result.complete(Result.DONE);
        }
    }

    private Result onFailure(Transferred sent, String reason) {
        PartitionId partition = sent.owned().grant().partition();
        uncommitted.remove(partition);
        LOGGER.atWarning().log("event=transfer_failed partition=%s reason=\"%s\"", partition, reason);
        if (sent.owned().isTransferred()) {
            return Result.FAILED_AFTER_TRANSFER;
        }
        sent.owned().ledger().resume();
        return Result.FAILED;
    }

    /** Takes the records of a previous owner. */
    void receive(ProcessId from, TransferAttempts message, Consumer<Envelope> reply) {
        traffic.execute(() -> {
            boolean accepted = store(from, message);
            reply.accept(Envelope.newBuilder()
                    .setTransferAck(TransferAck.newBuilder().setAccepted(accepted))
                    .build());
        });
    }

    private boolean store(ProcessId from, TransferAttempts message) {
        try {
            if (!TransferMessages.sender(message).process().equals(from)) {
                throw new IllegalArgumentException("records of another process");
            }
            partitions.receive(
                    TransferMessages.partition(message),
                    TransferMessages.sender(message),
                    TransferMessages.read(message),
                    traffic.group().get());
            return true;
        } catch (IllegalArgumentException e) {
            LOGGER.atWarning().log("event=transfer_rejected from=%s reason=\"%s\"", from, e.getMessage());
            return false;
        }
    }
}
