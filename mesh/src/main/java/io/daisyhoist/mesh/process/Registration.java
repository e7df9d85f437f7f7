package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.process.ControlExecutor;
import io.daisyhoist.mesh.store.MetadataStore;
import io.daisyhoist.mesh.store.StoredItem;
import io.daisyhoist.mesh.store.Transaction;
import io.daisyhoist.mesh.store.TransactionResult;

/**
 * Keeps this daemon's entry in the store, under a lease.
 *
 * <p>Invariant: {@link Listener#onConfirmed} is called only with the sending time of a call after which the store still
 * had the entry; after a failed call, an ended lease or a deleted entry the entry is read or written again before the next
 * confirmation. Confined to the control thread.
 */
final class Registration {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Three renewals fit into a lease, so that one lost answer ends nothing. */
    private static final Duration LEASE_TTL = Duration.ofMillis(3_000);

    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(900);
    private static final Duration RETRY_WAIT = Duration.ofMillis(250);

    private final String key;
    private final MetadataStore store;
    private final ControlExecutor control;
    private final TimeSource time;
    private final Listener listener;
    private final Duration leaseTtl;
    private FleetMember member;
    private long lease;
    private long revision;
    private boolean registered;
    private boolean dirty;
    private boolean verifyFirst;
    private boolean busy;
    private boolean storeLost;
    private OptionalLong firstRevision = OptionalLong.empty();
    private boolean ended;

    /** Hears of the state of the entry, on the control thread. */
    interface Listener {
        /** The entry was in the store after a call sent at the given time. */
        void onConfirmed(ElapsedTimer sentAt);

        /** The store answers again after a call had failed; connections from before may be silent for good. */
        void onStoreRegained();

        /** The entry was written anew, so that all else that was read from the store has to be read again. */
        void onRegistered();
    }

    Registration(
            String key,
            FleetMember member,
            MetadataStore store,
            ControlExecutor control,
            TimeSource time,
            Duration minLeaseTtl,
            Listener listener) {
        this.key = key;
        this.member = member;
        this.store = store;
        this.control = control;
        this.time = time;
        this.listener = listener;
        this.leaseTtl = minLeaseTtl.compareTo(LEASE_TTL) > 0 ? minLeaseTtl : LEASE_TTL;
    }

    /** Begins to keep the entry. */
    void start() {
        step();
    }

    /** Returns whether the entry was in the store when last heard of. */
    boolean isRegistered() {
        return registered;
    }

    /** Returns the store revision at which this process registered for the first time. */
    OptionalLong firstRevision() {
        return firstRevision;
    }

    FleetMember member() {
        return member;
    }

    /** Writes a changed entry soon. */
    void update(FleetMember changed) {
        if (changed.equals(member)) {
            return;
        }
        member = changed;
        dirty = true;
        if (!busy && registered) {
            step();
        }
    }

    /** Learns from the feed that the entry has another revision, or that it is gone (empty). */
    void onSeen(Optional<Long> seenRevision) {
        boolean gone = seenRevision.isEmpty();
        if (gone && registered && !ended) {
            LOGGER.atWarning().log("event=registration_lost key=%s revision=%d outcome=write_again", key, revision);
            registered = false;
            revision = Transaction.ABSENT;
            if (!busy) {
                step();
            }
        }
    }

    /** Stops keeping the entry. */
    void stop() {
        ended = true;
    }

    private void step() {
        if (busy || ended) {
            return;
        }
        busy = true;
        if (lease == Transaction.NO_LEASE) {
            createLease();
        } else if (!registered || dirty) {
            write();
        } else if (verifyFirst) {
            verify();
        } else {
            renew();
        }
    }

    private void next(Duration wait) {
        busy = false;
        control.scheduleOnce(this::step, wait);
    }

    private void failed(String call, Throwable failure) {
        LOGGER.atWarning().log(
                "event=registration_call_failed call=%s key=%s revision=%d reason=\"%s\"",
                call, key, revision, failure.getMessage());
        verifyFirst = true;
        storeLost = true;
        next(RETRY_WAIT);
    }

    private void answered() {
        if (storeLost) {
            storeLost = false;
            listener.onStoreRegained();
        }
    }

    /** Goes on with the answer of a call to the store, or tries again later. */
    private <T> void onAnswer(String call, CompletableFuture<T> pending, Consumer<T> next) {
        pending.whenCompleteAsync(
                (result, failure) -> {
                    if (failure != null) {
                        failed(call, failure);
                        return;
                    }
                    answered();
                    next.accept(result);
                },
                control);
    }

    private void createLease() {
        onAnswer("lease_create", store.createLease(leaseTtl), created -> {
            lease = created.id();
            registered = false;
            readRevision();
        });
    }

    private void readRevision() {
        onAnswer("entry_read", store.get(key), item -> {
            revision = revisionOf(item);
            write();
        });
    }

    private static long revisionOf(Optional<StoredItem> item) {
        return item.map(StoredItem::revision).orElse(Transaction.ABSENT);
    }

    private void write() {
        FleetMember written = member;
        Transaction entry = new Transaction(
                List.of(new Transaction.Condition(key, revision)),
                List.of(new Transaction.Write(key, FleetJson.write(written), lease)),
                List.of());
        onAnswer("entry_write", store.commit(entry), result -> onWritten(written, result));
    }

    private void onWritten(FleetMember written, TransactionResult result) {
        if (result instanceof TransactionResult.Committed committed) {
            revision = committed.revision();
            if (firstRevision.isEmpty()) {
                firstRevision = OptionalLong.of(revision);
            }
            dirty = !written.equals(member);
            if (!registered) {
                registered = true;
                LOGGER.atInfo().log("event=registered key=%s revision=%d lease=%d", key, revision, lease);
                listener.onRegistered();
            }
            verifyFirst = false;
            next(dirty ? Duration.ZERO : RENEWAL_INTERVAL);
            return;
        }
        if (result instanceof TransactionResult.LeaseEnded) {
            lease = Transaction.NO_LEASE;
            next(Duration.ZERO);
            return;
        }
        readRevision();
    }

    private void verify() {
        ElapsedTimer sentAt = ElapsedTimer.start(time);
        onAnswer("entry_read", store.get(key), item -> {
            long found = revisionOf(item);
            if (found != revision) {
                registered = false;
                revision = found;
                next(Duration.ZERO);
                return;
            }
            verifyFirst = false;
            listener.onConfirmed(sentAt);
            next(Duration.ZERO);
        });
    }

    private void renew() {
        ElapsedTimer sentAt = ElapsedTimer.start(time);
        onAnswer("lease_renew", store.renewLease(lease), alive -> onRenewed(sentAt, alive));
    }

    private void onRenewed(ElapsedTimer sentAt, boolean alive) {
        if (!alive) {
            LOGGER.atWarning().log("event=lease_ended key=%s lease=%d outcome=register_again", key, lease);
            lease = Transaction.NO_LEASE;
            registered = false;
            next(Duration.ZERO);
            return;
        }
        if (registered) {
            listener.onConfirmed(sentAt);
        }
        next(dirty || !registered ? Duration.ZERO : RENEWAL_INTERVAL);
    }
}
