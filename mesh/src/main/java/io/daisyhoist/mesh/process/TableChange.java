package io.daisyhoist.mesh.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.daisyhoist.core.keyrange.RangeMove;
import io.daisyhoist.core.keyrange.RangeTable;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.mesh.store.Transaction;

/**
 * Change of the table. Immutable.
 *
 * @param cause cause, for the log
 * @param table new table
 * @param expectedRevision revision of the table that it replaces
 * @param expired daemons that must have stayed unregistered, with the revisions of their creation records
 * @param moves moves that it completes
 */
record TableChange(
        String cause, RangeTable table, long expectedRevision, Map<DaemonId, Long> expired, List<RangeMove> moves) {
    private String key() {
        return FleetState.rangeKey(table.service());
    }

    /** Returns the transaction that fails if the table or one of the daemons has changed. */
    Transaction transaction() {
        List<Transaction.Condition> conditions = new ArrayList<>();
        conditions.add(new Transaction.Condition(key(), expectedRevision));
        List<String> deletes = new ArrayList<>();
        expired.forEach((daemon, creationRevision) -> {
            String creationKey = FleetState.creationKey(daemon);
            conditions.add(new Transaction.Condition(FleetState.memberKey(daemon), Transaction.ABSENT));
            conditions.add(new Transaction.Condition(creationKey, creationRevision));
            deletes.add(creationKey);
        });
        return new Transaction(
                conditions,
                List.of(new Transaction.Write(key(), FleetJson.write(table), Transaction.NO_LEASE)),
                deletes);
    }
}
