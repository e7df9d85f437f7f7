package io.daisyhoist.daemon.process;

import java.util.concurrent.CompletionStage;

import io.daisyhoist.core.membership.Grant;
import io.daisyhoist.core.membership.Member;

/** Ends the service of a partition for a planned move. Implementations are thread-safe. */
public interface PartitionHandOver {
    /** How a hand-over ended. */
    enum Result {
        /** Nothing runs any more and the next owner has the attempt records. */
        DONE,
        /** Failed before any record was sent. */
        FAILED,
        /** Failed after the next owner may have received records. */
        FAILED_AFTER_TRANSFER
    }

    /** Admits nothing more for the grant, waits for its in-flight requests and sends its attempt records. */
    CompletionStage<Result> handOver(Grant grant, Member to);
}
