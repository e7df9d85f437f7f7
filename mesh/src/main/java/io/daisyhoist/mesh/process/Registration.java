package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.ArrayList;
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
import io.daisyhoist.mesh.store.StoreEra;
import io.daisyhoist.mesh.store.StoredItem;
import io.daisyhoist.mesh.store.Transaction;
import io.daisyhoist.mesh.store.TransactionResult;

/**
 * Maintains this daemon's entry in the store, bound to a store lease.
 *
 * <p>Invariant: {@link Listener#onConfirmed} is called only with the send time of a call after which the entry still existed
 * in the store; after a failed call, an expired lease or a deleted entry, the entry is read or written again before the
 * next confirmation. Each transaction that creates the entry also writes the creation record. Confined to the control thread.
 */
final class Registration {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Allows for three renewals per lease, so that one lost response does not expire it. */
    private static final Duration LEASE_TTL = Duration.ofMillis(3_000);

    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(900);

    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(250);

    /** Entries have to be back within about two seconds of the store's return. */
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(1_000);

    private final String key;
    private final String creationKey;
    private final MetadataStore store;
    private final ControlExecutor control;
    private final TimeSource time;
    private final Listener listener;
    private final CallbackRunner callbacks;
    private final Duration leaseTtl;
    private final Backoff retryBackoff = new Backoff(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    private FleetMember member;
    private long lease;
    private long revision;
    /** Whether the first write is still to be done, under the condition that there is no creation record. */
    private boolean mayBeFirst = true;

    private volatile boolean firstOfDaemon;
    private boolean registered;
    private boolean dirty;
    private boolean needsVerification;
    private boolean callInProgress;
    private boolean storeUnavailable;
    private OptionalLong firstRevision = OptionalLong.empty();
    private boolean started;
    private boolean stopped;

    /** Receives changes of the registration, on the control thread. */
    interface Listener {
        /** Called when the entry existed in the store after a call that was sent at the given time. */
        void onConfirmed(ElapsedTimer sentAt);

        /** Called when the store responds again after a failed call; earlier connections may never respond. */
        void onStoreRecovered();

        /** Called when the entry was created again; all other state has to be read again from the store. */
        void onRegistered();
    }

    /**
     * Creates a registration that has not started.
     *
     * @param member content of the entry
     * @param minLeaseTtl shortest lease that the store grants
     */
    Registration(FleetMember member, StoreAccess access, Duration minLeaseTtl, Listener listener) {
        this.key = FleetState.memberKey(member.daemon());
        this.creationKey = FleetState.creationKey(member.daemon());
        this.member = member;
        this.store = access.store();
        this.control = access.control();
        this.time = access.time();
        this.callbacks = access.callbacks();
        this.listener = listener;
        this.leaseTtl = minLeaseTtl.compareTo(LEASE_TTL) > 0 ? minLeaseTtl : LEASE_TTL;
    }

    /** Starts the registration. */
    void start() {
        started = true;
        step();
    }

    /** Returns whether the entry existed in the store according to the last response or watch event. */
    boolean isRegistered() {
        return registered;
    }

    /** Returns the store revision of the first registration of this process. */
    OptionalLong firstRevision() {
        return firstRevision;
    }

    /**
     * Returns whether there was no creation record when this process registered, so that no earlier process of this daemon
     * can have ended shortly before; false until it is registered. Any thread may call this method.
     */
    boolean isFirstOfDaemon() {
        return firstOfDaemon;
    }

    FleetMember member() {
        return member;
    }

    /** Schedules a write of a changed entry. */
    void update(FleetMember updated) {
        if (updated.equals(member)) {
            return;
        }
        member = updated;
        dirty = true;
        if (!callInProgress && registered) {
            step();
        }
    }

    /** Handles a watch event for the entry; an empty revision means that it was deleted. */
    void onEntryEvent(Optional<Long> seenRevision) {
        boolean deleted = seenRevision.isEmpty();
        if (deleted && registered && !stopped) {
            LOGGER.atWarning().log("event=registration_lost key=%s revision=%d outcome=write_again", key, revision);
            registered = false;
            revision = Transaction.ABSENT;
            if (!callInProgress) {
                step();
            }
        }
    }

    /** Handles a new era of the store, which has lost the lease and perhaps the entry: writes the entry under a new lease. */
    void onEra() {
        lease = Transaction.NO_LEASE;
        registered = false;
        needsVerification = false;
        if (started && !callInProgress) {
            step();
        }
    }

    /** Stops renewals and writes. */
    void stop() {
        stopped = true;
    }

    private void step() {
        if (callInProgress || stopped) {
            return;
        }
        callInProgress = true;
        if (lease == Transaction.NO_LEASE) {
            createLease();
        } else if (!registered || dirty) {
            write();
        } else if (needsVerification) {
            verify();
        } else {
            renew();
        }
    }

    private void scheduleStep(Duration wait) {
        callInProgress = false;
        control.scheduleOnce(this::step, wait);
    }

    private void onCallFailed(String call, Throwable failure) {
        LOGGER.atWarning().log(
                "event=registration_call_failed call=%s key=%s revision=%d reason=\"%s\"",
                call, key, revision, failure.getMessage());
        needsVerification = true;
        storeUnavailable = true;
        scheduleStep(retryBackoff.nextDelay());
    }

    private void onCallSucceeded() {
        retryBackoff.reset();
        if (storeUnavailable) {
            storeUnavailable = false;
            notifyListener("store_recovered", listener::onStoreRecovered);
        }
    }

    private void notifyListener(String callback, Runnable action) {
        callbacks.run(callback, key, action);
    }

    /** Passes the response of a store call to the continuation, or schedules a retry after a failure. */
    private <T> void onResponse(String call, CompletableFuture<T> pending, Consumer<T> continuation) {
        control.whenComplete(pending, (result, failure) -> {
            if (failure != null) {
                onCallFailed(call, failure);
                return;
            }
            onCallSucceeded();
            continuation.accept(result);
        });
    }

    private void createLease() {
        onResponse("lease_create", store.createLease(leaseTtl), created -> {
            lease = created.id();
            registered = false;
            // The entry of an earlier process or lease has a revision; the write then conflicts, and the entry is read.
            write();
        });
    }

    private void readRevision() {
        onResponse("entry_read", store.get(key), item -> {
            revision = revisionOf(item);
            write();
        });
    }

    private static long revisionOf(Optional<StoredItem> item) {
        return item.map(StoredItem::revision).orElse(Transaction.ABSENT);
    }

    private void write() {
        FleetMember writtenMember = member;
        List<Transaction.Write> writes = new ArrayList<>();
        writes.add(new Transaction.Write(key, FleetJson.write(writtenMember), lease));
        if (!registered) {
            byte[] era = FleetState.creationValue(StoreEra.of(lease));
            writes.add(new Transaction.Write(creationKey, era, Transaction.NO_LEASE));
        }
        List<Transaction.Condition> conditions = new ArrayList<>();
        conditions.add(new Transaction.Condition(key, revision));
        if (mayBeFirst) {
            conditions.add(new Transaction.Condition(creationKey, Transaction.ABSENT));
        }
        Transaction entry = new Transaction(conditions, writes, List.of());
        onResponse("entry_write", store.commit(entry), result -> onWritten(writtenMember, result));
    }

    private void onWritten(FleetMember writtenMember, TransactionResult result) {
        if (result instanceof TransactionResult.Committed committed) {
            revision = committed.revision();
            firstOfDaemon |= mayBeFirst;
            mayBeFirst = false;
            if (firstRevision.isEmpty()) {
                firstRevision = OptionalLong.of(revision);
            }
            dirty = !writtenMember.equals(member);
            if (!registered) {
                registered = true;
                LOGGER.atInfo().log("event=registered key=%s revision=%d lease=%d", key, revision, lease);
                notifyListener("registered", listener::onRegistered);
            }
            needsVerification = false;
            scheduleStep(dirty ? Duration.ZERO : RENEWAL_INTERVAL);
            return;
        }
        if (result instanceof TransactionResult.LeaseEnded) {
            lease = Transaction.NO_LEASE;
            scheduleStep(Duration.ZERO);
            return;
        }
        mayBeFirst = false;
        readRevision();
    }

    private void verify() {
        ElapsedTimer sentAt = ElapsedTimer.start(time);
        onResponse("entry_read", store.get(key), item -> {
            long storedRevision = revisionOf(item);
            if (storedRevision != revision) {
                registered = false;
                revision = storedRevision;
                scheduleStep(Duration.ZERO);
                return;
            }
            needsVerification = false;
            notifyListener("registration_confirmed", () -> listener.onConfirmed(sentAt));
            scheduleStep(Duration.ZERO);
        });
    }

    private void renew() {
        ElapsedTimer sentAt = ElapsedTimer.start(time);
        onResponse("lease_renew", store.renewLease(lease), renewed -> onRenewed(sentAt, renewed));
    }

    private void onRenewed(ElapsedTimer sentAt, boolean renewed) {
        if (!renewed) {
            LOGGER.atWarning().log("event=lease_ended key=%s lease=%d outcome=register_again", key, lease);
            lease = Transaction.NO_LEASE;
            registered = false;
            // The entry has ended with its lease.
            revision = Transaction.ABSENT;
            scheduleStep(Duration.ZERO);
            return;
        }
        if (registered) {
            notifyListener("registration_confirmed", () -> listener.onConfirmed(sentAt));
        }
        scheduleStep(dirty || !registered ? Duration.ZERO : RENEWAL_INTERVAL);
    }
}
