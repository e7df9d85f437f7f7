package io.daisyhoist.mesh.store;

import java.util.List;
import java.util.function.LongUnaryOperator;

/**
 * Era of the store: it rises each time the store comes back from an older copy, and revisions and lease ids are then issued
 * again.
 *
 * <p>The product uses revisions and lease ids that contain their era in the high bits. They never repeat, and the order of
 * revisions is that of the eras first. Those of era 0, of a store without eras, are the store's own. Immutable.
 *
 * @param number number of the era, not negative
 */
public record StoreEra(long number) {
    /** Era of a store that reports none. */
    public static final StoreEra NONE = new StoreEra(0);

    /** Leaves room for revisions that are milliseconds since the Unix epoch. */
    private static final int NUMBER_BITS = 44;

    private static final long NUMBER_MASK = (1L << NUMBER_BITS) - 1;
    private static final long MAX_ERA = Long.MAX_VALUE >> NUMBER_BITS;

    /** Checks the range. */
    public StoreEra {
        if (number < 0 || number > MAX_ERA) {
            throw new IllegalArgumentException("invalid era " + number);
        }
    }

    /** Returns the number of the era of a revision or lease id. */
    public static long of(long revisionOrLease) {
        return revisionOrLease >> NUMBER_BITS;
    }

    /** Returns the store's own number of a revision or lease id. */
    public static long withoutEra(long revisionOrLease) {
        return revisionOrLease & NUMBER_MASK;
    }

    /** Returns a revision or lease id for a number that the store has issued in this era. */
    public long with(long storeNumber) {
        if (number == 0) {
            return storeNumber;
        }
        if (storeNumber < 0 || storeNumber > NUMBER_MASK) {
            throw new IllegalArgumentException("number " + storeNumber + " out of range in era " + number);
        }
        return (number << NUMBER_BITS) | storeNumber;
    }

    /** Returns an item with the revision of this era. */
    public StoredItem with(StoredItem item) {
        return new StoredItem(item.key(), item.value(), with(item.revision()));
    }

    /** Returns a page with the revisions of this era. */
    public ItemPage with(ItemPage page) {
        return new ItemPage(page.items().stream().map(this::with).toList(), page.hasMore(), with(page.asOf()));
    }

    /** Returns changes with the revisions of this era. */
    public WatchResult.Changes with(WatchResult.Changes changes) {
        return new WatchResult.Changes(mapRevisions(changes.events(), this::with), with(changes.asOf()));
    }

    /** Returns changes with the numbers that the store has issued. */
    public static List<StoreEvent> withoutEra(List<StoreEvent> events) {
        return mapRevisions(events, StoreEra::withoutEra);
    }

    private static List<StoreEvent> mapRevisions(List<StoreEvent> events, LongUnaryOperator operator) {
        return events.stream()
                .map(event -> new StoreEvent(
                        event.key(),
                        operator.applyAsLong(event.revision()),
                        event.item()
                                .map(item -> new StoredItem(
                                        item.key(), item.value(), operator.applyAsLong(item.revision())))))
                .toList();
    }

    /** Returns the result of a transaction with the revision of this era. */
    public TransactionResult with(TransactionResult result) {
        return result instanceof TransactionResult.Committed committed
                ? new TransactionResult.Committed(with(committed.revision()))
                : result;
    }

    /** Returns a lease with the id of this era. */
    public StoreLease with(StoreLease lease) {
        return new StoreLease(with(lease.id()), lease.ttl());
    }

    /** Returns a transaction with the numbers that the store has issued. */
    public static Transaction withoutEra(Transaction transaction) {
        return new Transaction(
                transaction.conditions().stream()
                        .map(condition -> new Transaction.Condition(condition.key(), withoutEra(condition.revision())))
                        .toList(),
                transaction.writes().stream()
                        .map(write -> new Transaction.Write(write.key(), write.value(), withoutEra(write.lease())))
                        .toList(),
                transaction.deletes());
    }
}
