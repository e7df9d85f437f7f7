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
import io.daisyhoist.daemon.connection.DeliveryCertainty;
import io.daisyhoist.daemon.connection.PeerChannel;
import io.daisyhoist.daemon.connection.PeerClient;
import io.daisyhoist.daemon.connection.PeerException;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.TransferAck;
import io.daisyhoist.wire.proto.TransferAttempts;

/**
 * Transfers the attempt records of a partition to its next owner, and receives those of a previous owner.
 *
 * <p>Records are sent only when no request of the partition is in flight. They carry the epoch that the move gets if it
 * is committed on the current record version, and are sent again if the version changes before the commit. Public
 * methods may be called from any thread.
 */
public final class PartitionTransfer {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration ACK_TIMEOUT = Duration.ofSeconds(2);

    /** Outcome of a hand-over. */
    public enum Result {
        /** No request is in flight and the next owner has the attempt records. */
        DONE,
        /** Failed before any record was sent. */
        FAILED,
        /** Failed after the next owner may have received records. */
        FAILED_AFTER_TRANSFER
    }

    private record UncommittedTransfer(OwnedPartition owned, Member to, long version) {}

    private final TrafficContext traffic;
    private final PeerClient peers;
    private final OwnedPartitions partitions;
    private final Map<PartitionId, UncommittedTransfer> uncommittedTransfers = new HashMap<>();
    private final Set<PartitionId> partitionsInTransfer = new HashSet<>();

    PartitionTransfer(TrafficContext traffic, PeerClient peers, OwnedPartitions partitions) {
        this.traffic = traffic;
        this.peers = peers;
        this.partitions = partitions;
    }

    /**
     * Waits until no request of a partition is in flight, then sends its records. The control thread must have stopped
     * serving the grant before.
     */
    public CompletionStage<Result> handOver(Grant grant, Member to) {
        CompletableFuture<Result> result = new CompletableFuture<>();
        traffic.execute(() -> {
            OwnedPartition owned = partitions.getOrCreate(grant, traffic.group().get());
            owned.whenIdle().onSuccess(ignored -> traffic.execute(() -> send(owned, to, result)));
        });
        return result;
    }

    /** Applies a new snapshot of the group: removes lost partitions and resends records whose epoch is outdated. */
    public void onGroupChanged() {
        traffic.execute(() -> {
            GroupSnapshot group = traffic.group().get();
            partitions.retainOwned(group);
            uncommittedTransfers
                    .keySet()
                    .removeIf(partition -> !group.handingOver().contains(partition));
            uncommittedTransfers.values().stream()
                    .filter(transfer -> transfer.version() != group.record().version())
                    .toList()
                    .forEach(transfer -> send(transfer.owned(), transfer.to(), new CompletableFuture<>()));
        });
    }

    private void send(OwnedPartition owned, Member to, CompletableFuture<Result> result) {
        GroupSnapshot group = traffic.group().get();
        PartitionId partition = owned.grant().partition();
        boolean stillOwned = group.record().grant(partition).equals(Optional.of(owned.grant()));
        if (!stillOwned || owned.ledger().runningCount() > 0 || !partitionsInTransfer.add(partition)) {
            // The control thread stopped waiting and changed the grant, or another transfer is in progress.
            result.complete(Result.FAILED_AFTER_TRANSFER);
            return;
        }
        long version = group.record().version();
        LedgerExport export = owned.ledger().exportAndSeal(version + 1);
        uncommittedTransfers.put(partition, new UncommittedTransfer(owned, to, version));
        peers.call(to.peer(), PeerChannel.TRAFFIC, TransferMessageCodec.encode(owned.grant(), export), ACK_TIMEOUT)
                .whenComplete((reply, failure) -> traffic.execute(() -> {
                    partitionsInTransfer.remove(partition);
                    onReply(new UncommittedTransfer(owned, to, version), Optional.ofNullable(reply), failure, result);
                }));
    }

    private void onReply(
            UncommittedTransfer transfer,
            Optional<Envelope> reply,
            Throwable failure,
            CompletableFuture<Result> result) {
        boolean notSent =
                failure instanceof PeerException peerFailure && peerFailure.certainty() == DeliveryCertainty.NOT_SENT;
        if (!notSent) {
            transfer.owned().markTransferred();
        }
        boolean accepted = reply.filter(Envelope::hasTransferAck)
                .map(ack -> ack.getTransferAck().getAccepted())
                .orElse(false);
        if (!accepted) {
            result.complete(onFailure(transfer, failure == null ? "not accepted" : failure.getMessage()));
        } else if (transfer.version() != traffic.group().get().record().version()) {
            send(transfer.owned(), transfer.to(), result);
        } else {
            result.complete(Result.DONE);
        }
    }

    private Result onFailure(UncommittedTransfer transfer, String reason) {
        PartitionId partition = transfer.owned().grant().partition();
        uncommittedTransfers.remove(partition);
        LOGGER.atWarning().log("event=transfer_failed partition=%s reason=\"%s\"", partition, reason);
        if (transfer.owned().isTransferred()) {
            return Result.FAILED_AFTER_TRANSFER;
        }
        transfer.owned().ledger().resume();
        return Result.FAILED;
    }

    /** Stores the records of a previous owner and acknowledges them. */
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
            if (!TransferMessageCodec.sender(message).process().equals(from)) {
                throw new IllegalArgumentException("attempt records were sent by another process");
            }
            partitions.receiveTransfer(
                    TransferMessageCodec.partition(message),
                    TransferMessageCodec.sender(message),
                    TransferMessageCodec.decode(message),
                    traffic.group().get());
            return true;
        } catch (IllegalArgumentException e) {
            LOGGER.atWarning().log("event=transfer_rejected from=%s reason=\"%s\"", from, e.getMessage());
            return false;
        }
    }
}
