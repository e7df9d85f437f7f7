package io.daisyhoist.mesh.connection;

import java.util.ArrayList;
import java.util.List;

import io.daisyhoist.daemon.connection.HttpField;

/**
 * Header fields of a request that concern its customer.
 *
 * <p>Invariant: in a fleet with customers, a backend server receives no API key, and the name of a customer only from the
 * daemon. Stateless.
 */
public final class CustomerHeaders {
    private CustomerHeaders() {}

    /** Returns whether a header field must not be passed on as the client sent it, in a fleet with customers. */
    public static boolean isReplaced(HeaderNames names, String fieldName) {
        return fieldName.equalsIgnoreCase(names.apiKey()) || fieldName.equalsIgnoreCase(names.customer());
    }

    /**
     * Returns the header fields for a backend server.
     *
     * @param fleetHasCustomers whether the fleet has customers, according to the daemon that writes the request
     */
    static List<HttpField> forBackend(HeaderNames names, BackendRequestData request, boolean fleetHasCustomers) {
        if (request.customer().isEmpty() && !fleetHasCustomers) {
            return request.headers();
        }
        List<HttpField> fields = new ArrayList<>(request.headers().size() + 1);
        for (HttpField field : request.headers()) {
            if (!isReplaced(names, field.name())) {
                fields.add(field);
            }
        }
        request.customer()
                .ifPresent(credential -> fields.add(
                        new HttpField(names.customer(), credential.customer().name())));
        return fields;
    }
}
