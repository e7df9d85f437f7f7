package io.daisyhoist.mesh.connection;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.core.time.ManualTimeSource;
import io.daisyhoist.mesh.body.RequestBody;
import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class ForwardCodecTest {
    private final ManualTimeSource time = new ManualTimeSource();

    private BackendRequestData transfer(Duration untilTarget) {
        BackendRequestData request = new BackendRequestData(
                "1",
                new ServiceName("s"),
                OptionalInt.empty(),
                "GET",
                "/",
                List.of(),
                RequestBody.of(Buffer.buffer()),
                5,
                Deadline.after(time, Duration.ofSeconds(2)),
                "caller",
                new BackendProcessId("b", 1),
                false,
                Optional.empty(),
                Deadline.after(time, untilTarget),
                Duration.ofMillis(70),
                true);
        return ForwardCodec.decode(
                ForwardCodec.encode(request, Duration.ZERO, time).getForwardRequest(), time);
    }

    /** Guards against an order at the backend server's daemon that differs from the one at the sender. */
    @Test
    void decode_admissionFields_areThoseOfTheSender() {
        BackendRequestData received = transfer(Duration.ofMillis(300));
        assertEquals(Duration.ofMillis(300), received.target().remaining(time));
        assertEquals(Duration.ofMillis(70), received.expectedWork());
        assertEquals(5, received.priority());
        assertEquals(true, received.nested());
    }

    /** Guards against a message that cannot be decoded because the target has passed. */
    @Test
    void decode_targetHasPassed_hasNoTimeLeftUntilTarget() {
        assertEquals(Duration.ZERO, transfer(Duration.ofMillis(-100)).target().remaining(time));
    }
}
