package io.daisyhoist.core.customer;

import java.util.Optional;
import java.util.function.Supplier;

import io.daisyhoist.core.time.TimeSource;

/**
 * Decides whether an API key admits a request now.
 *
 * <p>Invariant: the age of the confirmation is read before the customers, so that a confirmation is never applied to
 * customers that it replaced. Thread-safe if the supplier is.
 */
public final class ApiKeyCheck {
    private final ConfigConfirmation confirmation;
    private final Supplier<Optional<CustomerTable>> customers;

    /** Result of a check. */
    public enum Verdict {
        /** The newest configuration gives the key to the customer. */
        VALID,
        /** No configuration that is in force has the key. */
        UNKNOWN,
        /** It is not known whether the newest configuration has the key. */
        UNCONFIRMED
    }

    /**
     * Creates a check.
     *
     * @param customers customers of the configuration in force; empty while no configuration is known
     */
    public ApiKeyCheck(ConfigConfirmation confirmation, Supplier<Optional<CustomerTable>> customers) {
        this.confirmation = confirmation;
        this.customers = customers;
    }

    /** Creates a check for a deployment without a revocation limit, which accepts keys whatever the age of the proof. */
    public static ApiKeyCheck withoutRevocationLimit(TimeSource time, Supplier<Optional<CustomerTable>> customers) {
        return new ApiKeyCheck(new ConfigConfirmation(time, Optional.empty()), customers);
    }

    /** Checks a key that a client sent, against the given customers. */
    public Verdict check(CustomerTable table, ApiKeyHash key) {
        if (!confirmation.permitsKeys()) {
            return Verdict.UNCONFIRMED;
        }
        if (table.findByKey(key).isPresent()) {
            return Verdict.VALID;
        }
        // A key that a newer configuration adds must not be reported as unknown, which clients take as final.
        return confirmation.isCurrent() ? Verdict.UNKNOWN : Verdict.UNCONFIRMED;
    }

    /** Checks again whether a key belongs to the customer for whom another check accepted it. */
    public Verdict recheck(CustomerCredential credential) {
        if (!confirmation.permitsKeys()) {
            return Verdict.UNCONFIRMED;
        }
        Optional<CustomerTable> table = customers.get();
        if (table.isEmpty()) {
            return Verdict.UNCONFIRMED;
        }
        boolean held = table.get()
                .findByKey(credential.key())
                .filter(customer -> customer.name().equals(credential.customer()))
                .isPresent();
        return held ? Verdict.VALID : Verdict.UNKNOWN;
    }
}
