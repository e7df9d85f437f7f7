package io.daisyhoist.mesh.connection;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import io.daisyhoist.core.customer.CustomerCredential;
import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.daemon.connection.HttpField;
import io.daisyhoist.mesh.body.RequestBody;

/**
 * Request to a backend server. Immutable, except that the rest of a streamed body can be read once.
 *
 * @param id id that the client assigned to this attempt
 * @param service target service
 * @param key key, if the service is keyed
 * @param method HTTP method
 * @param uri path and query
 * @param headers end-to-end headers as the client sent them
 * @param body body, whose rest may be streamed
 * @param priority priority; 0 is the most urgent
 * @param deadline time after which the response is no longer needed
 * @param callerService service of the instance at which it entered the fleet
 * @param expectedProcess expected process of the backend server
 * @param hasAlternative whether the sender can choose another backend server if this one is currently slow
 * @param customer customer whose key the request carried; empty if it needs no key
 * @param target time until which the response meets the latency target of its route
 * @param expectedWork expected run time at a backend server of usual speed; zero if unknown
 * @param nested whether it is a call of the backend server of the instance at which it entered the fleet
 */
public record BackendRequestData(
        String id,
        ServiceName service,
        OptionalInt key,
        String method,
        String uri,
        List<HttpField> headers,
        RequestBody body,
        int priority,
        Deadline deadline,
        String callerService,
        BackendProcessId expectedProcess,
        boolean hasAlternative,
        Optional<CustomerCredential> customer,
        Deadline target,
        Duration expectedWork,
        boolean nested) {

    /** Returns the same request with another body. */
    public BackendRequestData withBody(RequestBody otherBody) {
        return new BackendRequestData(
                id,
                service,
                key,
                method,
                uri,
                headers,
                otherBody,
                priority,
                deadline,
                callerService,
                expectedProcess,
                hasAlternative,
                customer,
                target,
                expectedWork,
                nested);
    }

    /** Returns the host that the client addressed; empty if the request has no host header. */
    public String host() {
        return headers.stream()
                .filter(field -> field.name().equalsIgnoreCase("host"))
                .map(HttpField::value)
                .findFirst()
                .orElse("");
    }

    /** Returns the path without the query string. */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
