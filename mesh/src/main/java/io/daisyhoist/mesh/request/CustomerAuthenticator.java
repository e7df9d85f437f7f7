package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import io.daisyhoist.core.customer.ApiKeyCheck;
import io.daisyhoist.core.customer.ApiKeyHash;
import io.daisyhoist.core.customer.Customer;
import io.daisyhoist.core.customer.CustomerCredential;
import io.daisyhoist.core.customer.CustomerTable;
import io.daisyhoist.core.route.FleetConfig;
import io.daisyhoist.core.route.Route;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRunReason;
import io.daisyhoist.mesh.connection.BackendRequestData;
import io.daisyhoist.mesh.connection.HeaderNames;
import io.vertx.core.MultiMap;

/**
 * Decides to which customer a request of a client belongs, from the configuration, the route and the header fields.
 *
 * <p>Invariants: a request with an API key is accepted only if it has exactly one, which is in the configuration; an API key
 * appears in no result. Thread-safe if the check is.
 */
public final class CustomerAuthenticator {
    /** A new confirmation usually arrives within this time. */
    private static final Duration UNCONFIRMED_RETRY_AFTER = Duration.ofMillis(300);

    private final ApiKeyCheck check;
    private final HeaderNames headerNames;

    /** Result for a request. */
    public sealed interface Result {}

    /**
     * The request may be sent to a backend server.
     *
     * @param customer customer and key; empty if the request needs no key
     * @param priority priority of the customer, which replaces that of the route
     */
    public record Accepted(Optional<CustomerCredential> customer, OptionalInt priority) implements Result {
        private static final Accepted ANONYMOUS = new Accepted(Optional.empty(), OptionalInt.empty());
    }

    /**
     * The request does not run.
     *
     * @param reason reason for logs and metrics, from a fixed set
     * @param response response to the client
     */
    public record Refused(String reason, ClientResponse response) implements Result {}

    /** Creates an authenticator. */
    public CustomerAuthenticator(ApiKeyCheck check, HeaderNames headerNames) {
        this.check = check;
        this.headerNames = headerNames;
    }

    /** Decides on a request. */
    Result authenticate(FleetConfig config, Route route, MultiMap headers) {
        CustomerTable customers = config.customers();
        if (customers.isEmpty() || route.anonymous()) {
            return Accepted.ANONYMOUS;
        }
        List<String> values = headers.getAll(headerNames.apiKey());
        if (values.size() != 1 || values.get(0).isBlank()) {
            return new Refused(values.size() > 1 ? "keys_several" : "key_missing", ClientResponse.unauthorized());
        }
        ApiKeyHash key = ApiKeyHash.ofKey(values.get(0));
        return switch (check.check(customers, key)) {
            case VALID -> accept(customers.findByKey(key).orElseThrow(), key);
            case UNKNOWN -> new Refused("key_unknown", ClientResponse.unauthorized());
            case UNCONFIRMED -> new Refused("key_unconfirmed", ClientResponse.notRun(UNCONFIRMED_RETRY_AFTER));
        };
    }

    /** Checks the key of a request to the local backend server again; empty if the request may be written or needs no key. */
    static Optional<NotRunReason> refusalReason(ApiKeyCheck check, BackendRequestData request) {
        return request.customer().flatMap(credential -> switch (check.recheck(credential)) {
            case VALID -> Optional.empty();
            case UNKNOWN -> Optional.of(NotRunReason.KEY_UNKNOWN);
            case UNCONFIRMED -> Optional.of(NotRunReason.KEY_UNCONFIRMED);
        });
    }

    private static Accepted accept(Customer customer, ApiKeyHash key) {
        return new Accepted(Optional.of(new CustomerCredential(customer.name(), key)), customer.priority());
    }
}
