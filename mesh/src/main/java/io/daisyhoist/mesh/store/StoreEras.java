package io.daisyhoist.mesh.store;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * Newest era that any response of the store has shown, and the rules for calls that begin in one era and end in another.
 *
 * <p>Invariants: the era never decreases; the listener is called once for each new era, in order, before the response that
 * shows it is delivered. Thread-safe.
 */
public final class StoreEras {
    private Optional<StoreEra> newest = Optional.empty();
    private Consumer<StoreEra> listener = era -> {};

    /** Sets the listener, which must not block; it is called at once if an era is known. */
    public synchronized void setListener(Consumer<StoreEra> newListener) {
        listener = newListener;
        newest.ifPresent(newListener);
    }

    /** Returns the newest era; era 0 before the first response. */
    public synchronized StoreEra newest() {
        return newest.orElse(StoreEra.NONE);
    }

    /**
     * Handles a response.
     *
     * @throws StoreUnavailableException if the response is of an older era than the newest one, so that it is no response
     */
    public synchronized void onResponse(StoreEra era) {
        if (newest.isPresent() && era.number() < newest.get().number()) {
            throw new StoreUnavailableException(
                    "late response of era " + era.number() + " in era "
                            + newest.get().number(),
                    false);
        }
        if (newest.isEmpty() || era.number() > newest.get().number()) {
            newest = Optional.of(era);
            listener.accept(era);
        }
    }

    /**
     * Checks that a call whose effect depends on what was known was answered in the era in which it began.
     *
     * @throws StoreUnavailableException if the outcome is unknown, because the store has been restored in between
     */
    public static void requireSame(StoreEra begun, StoreEra answered) {
        if (!begun.equals(answered)) {
            throw new StoreUnavailableException(
                    "begun in era " + begun.number() + ", answered in era " + answered.number(), false);
        }
    }

    /** Returns the result of a transaction that no longer makes sense because of its era; empty if it can be sent. */
    public Optional<TransactionResult> resultWithoutCall(Transaction transaction) {
        long era = newest().number();
        if (transaction.writes().stream().anyMatch(write -> isObsolete(write.lease(), Transaction.NO_LEASE, era))) {
            return Optional.of(new TransactionResult.LeaseEnded());
        }
        boolean obsolete = transaction.conditions().stream()
                .anyMatch(condition -> isObsolete(condition.revision(), Transaction.ABSENT, era));
        return obsolete ? Optional.of(new TransactionResult.Conflict()) : Optional.empty();
    }

    private static boolean isObsolete(long number, long none, long era) {
        return number != none && StoreEra.of(number) != era;
    }

    /** Returns whether a revision or lease id is of an earlier era, so that the store knows it no longer. */
    public boolean isObsolete(long revisionOrLease) {
        return StoreEra.of(revisionOrLease) < newest().number();
    }
}
