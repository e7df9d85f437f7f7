package io.daisyhoist.mesh.quota;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import io.daisyhoist.core.customer.CustomerName;
import io.daisyhoist.mesh.request.ClientResponse;
import io.daisyhoist.mesh.request.QuotaCheck;
import io.vertx.core.Future;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class QuotaCheckTest {
    private static final Optional<CustomerName> CUSTOMER = Optional.of(new CustomerName("small"));
    private static final int REQUESTS = 200;
    private static final double ALLOWANCE = (5 + 2) * 1.1 + 20;

    private final QuotaFleet fleet = new QuotaFleet(1, List.of(QuotaFleet.customer("small", 1, 2)));
    private final QuotaCheck check = QuotaCheck.of(fleet.daemons.get(0));
    private final AtomicInteger dispatched = new AtomicInteger();

    /** Sends requests within one window and counts those that were dispatched. */
    private ClientResponse send(Optional<CustomerName> customer, ClientResponse outcome) {
        fleet.advance(1_000);
        ClientResponse last = null;
        for (int i = 0; i < REQUESTS; i++) {
            last = check.run(customer, "id", Future.future(never -> {}), () -> {
                        dispatched.incrementAndGet();
                        return Future.succeededFuture(outcome);
                    })
                    .result();
        }
        return last;
    }

    @Test
    void run_requestsThatRun_limitedByQuota() {
        ClientResponse last = send(CUSTOMER, ClientResponse.status(200));
        assertTrue(dispatched.get() <= ALLOWANCE, "dispatched " + dispatched);
        assertEquals(429, last.status());
        assertTrue(last.statesNotRun());
    }

    /** A request with an unknown outcome may have run and must not be given back. */
    @Test
    void run_unknownOutcome_limitedByQuota() {
        send(CUSTOMER, ClientResponse.status(ClientResponse.OUTCOME_UNKNOWN));
        assertTrue(dispatched.get() <= ALLOWANCE, "dispatched " + dispatched);
    }

    /** Requests that are refused for another reason must not use up the quota of those that could run. */
    @Test
    void run_requestsThatHaveNotRun_useNoQuota() {
        send(CUSTOMER, ClientResponse.notRun(Duration.ofMillis(100)));
        assertEquals(REQUESTS, dispatched.get());
    }

    @Test
    void run_withoutCustomer_unlimited() {
        send(Optional.empty(), ClientResponse.status(200));
        assertEquals(REQUESTS, dispatched.get());
    }
}
