package io.daisyhoist.core.keyrange;

import java.util.List;

import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RangeClaimsTest {
    private static final ServiceName SERVICE = new ServiceName("s");
    private static final RangeTable COPY =
            new RangeTable(SERVICE, 4, List.of(assignment(0, 99, "a", 1), assignment(100, 199, "b", 4)));

    private static RangeAssignment assignment(int from, int to, String daemon, long fence) {
        BackendProcessId process = new BackendProcessId("backend-of-" + daemon, 1);
        return RangeAssignment.of(new KeyRange(from, to), new DaemonId(daemon), process, fence, "");
    }

    private static RangeClaims claims(long lastFence, RangeAssignment... assignments) {
        return new RangeClaims(List.of(assignments), lastFence);
    }

    /** Guards against keys that a copy of the store gives back to the daemon that has moved them away. */
    @Test
    void applyTo_movedKeysOfCopy_areThoseOfTheirHolder() {
        RangeAssignment moved = assignment(20, 29, "b", 7);
        RangeTable restored = claims(9, moved, assignment(100, 199, "b", 4)).applyTo(COPY);
        assertEquals(
                List.of(assignment(0, 19, "a", 1), moved, assignment(30, 99, "a", 1), assignment(100, 199, "b", 4)),
                restored.assignments());
        assertEquals(9, restored.lastFence());
    }

    /** Guards against a table that is taken for complete although a token in it is an earlier one. */
    @Test
    void areIn_earlierToken_isNot() {
        assertTrue(claims(4, assignment(110, 119, "b", 4)).areIn(COPY));
        assertFalse(claims(7, assignment(110, 119, "b", 7)).areIn(COPY));
        assertFalse(claims(4, assignment(90, 110, "b", 4)).areIn(COPY));
        assertFalse(claims(4, assignment(190, 210, "b", 4)).areIn(COPY));
    }

    /** Guards against keys that are granted under an earlier token because only a part of them is claimed. */
    @Test
    void contain_onlyPartClaimed_isNot() {
        RangeClaims claims = claims(4, assignment(100, 149, "b", 4), assignment(150, 180, "b", 4));
        assertTrue(claims.contain(assignment(140, 160, "b", 4)));
        assertFalse(claims.contain(assignment(140, 190, "b", 4)));
    }
}
