package io.daisyhoist.core.atmostonce;

import java.time.Instant;
import java.util.Optional;
import java.util.Random;

import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.ServiceName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against tokens that change when formatted and parsed, and against malformed tokens from clients. */
class AttemptTokenTest {
    @Test
    void parse_ofAnyIssuedToken_returnsIt() {
        Random random = new Random(5);
        for (String service : new String[] {"a", "a.b", "a.1.2", "crew-dispatch_2.x"}) {
            for (int i = 0; i < 200; i++) {
                PartitionId partition = new PartitionId(new ServiceName(service), random.nextInt(100_000));
                Instant now = Instant.ofEpochMilli(random.nextLong(4_000_000_000_000L));
                AttemptToken token = AttemptToken.issue(partition, random.nextLong(1L << 40), now, random);
                assertEquals(Optional.of(token), AttemptToken.parse(token.format()));
            }
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "....",
                "s.1.2.3",
                "s.1.2.3.00000000000000000000000000000000.x",
                "s.01.2.3.00000000000000000000000000000000",
                "s.1.+2.3.00000000000000000000000000000000",
                "s.1.2.-3.00000000000000000000000000000000",
                "s.1.2.3.0000000000000000000000000000000G",
                "s.1.2.3.0000000000000000000000000000000A",
                "s.1.99999999999999999999.3.00000000000000000000000000000000",
                "s.9999999999.2.3.00000000000000000000000000000000",
                "-s.1.2.3.00000000000000000000000000000000",
                "s .1.2.3.00000000000000000000000000000000",
                ".1.2.3.00000000000000000000000000000000",
                "s.1.2.\u0663.00000000000000000000000000000000"
            })
    void parse_malformed_isEmpty(String text) {
        assertEquals(Optional.empty(), AttemptToken.parse(text));
    }
}
