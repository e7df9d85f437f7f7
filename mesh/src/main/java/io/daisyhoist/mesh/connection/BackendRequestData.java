package io.daisyhoist.mesh.connection;

import java.util.List;
import java.util.OptionalInt;

import io.daisyhoist.core.fleet.BackendLife;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.daemon.connection.HttpField;
import io.vertx.core.buffer.Buffer;

/**
 * A request on its way to a backend server. Immutable.
 *
 * @param id identity that the client gave to this attempt
 * @param service service that is to run it
 * @param key its key, if the service has keys
 * @param method HTTP method
 * @param uri path and query
 * @param headers end-to-end headers as the client sent them
 * @param body whole body
 * @param priority rank, 0 being the most urgent
 * @param deadline time at which nobody waits for the answer any more
 * @param callerService service of the instance at which it entered the fleet
 * @param expected process of the backend server that is meant
 * @param hasAlternative whether the sender can choose another backend server if this one is slow at present
 */
public record BackendRequestData(
        String id,
        ServiceName service,
        OptionalInt key,
        String method,
        String uri,
        List<HttpField> headers,
        Buffer body,
        int priority,
        Deadline deadline,
        String callerService,
        BackendLife expected,
        boolean hasAlternative) {}
