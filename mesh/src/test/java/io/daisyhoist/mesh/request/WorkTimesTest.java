package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.Optional;

import io.daisyhoist.core.admission.Rank;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class WorkTimesTest {
    private final WorkTimes times = new WorkTimes();

    /** Answers short calls that share their rank with ordinary requests and wait behind long browsing requests. */
    @Test
    void shortBesideLong_shortNormalRequests_isTheirRank() {
        times.onEnd(Rank.NORMAL, Duration.ofMillis(20));
        times.onEnd(Rank.BROWSE, Duration.ofMillis(200));
        assertEquals(Optional.of(Rank.NORMAL), times.shortBesideLong());
    }

    /** Guards against a slot that stands empty for requests which take as long as the others. */
    @Test
    void shortBesideLong_similarTimes_isEmpty() {
        times.onEnd(Rank.NORMAL, Duration.ofMillis(80));
        times.onEnd(Rank.BROWSE, Duration.ofMillis(100));
        assertEquals(Optional.empty(), times.shortBesideLong());
    }

    /** Guards against a slot that is kept from urgent requests for the sake of short browsing ones. */
    @Test
    void shortBesideLong_lowerRankIsShort_isEmpty() {
        times.onEnd(Rank.NORMAL, Duration.ofMillis(200));
        times.onEnd(Rank.BROWSE, Duration.ofMillis(20));
        assertEquals(Optional.empty(), times.shortBesideLong());
    }

    @Test
    void shortBesideLong_onlyOneRankSeen_isEmpty() {
        times.onEnd(Rank.NORMAL, Duration.ofMillis(20));
        assertEquals(Optional.empty(), times.shortBesideLong());
    }
}
