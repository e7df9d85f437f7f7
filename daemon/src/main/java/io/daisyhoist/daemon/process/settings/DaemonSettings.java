package io.daisyhoist.daemon.process.settings;

import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ServiceName;

/**
 * Settings of one daemon. Immutable; the file is read once at the start of the process.
 *
 * @param cluster name that all daemons of a deployment share; a peer with another name is refused
 * @param daemonId unique name of this daemon in the cluster
 * @param region region of the instance
 * @param zone availability zone of the instance
 * @param service service of the backend server beside this daemon
 * @param host numeric IP address on which all ports listen and which other daemons connect to
 * @param httpPort port for clients
 * @param adminPort port for operators, metrics and announcements
 * @param peerPort port for other daemons
 * @param platformUrls base URLs of the platform's key-value store, tried in order
 * @param backendUrl base URL of the backend server
 * @param lease times and witnesses of leases
 * @param limits bounds of the HTTP edge
 * @param logLevel least severe events to log
 * @param traceFile file that receives the spans, if tracing is on
 */
public record DaemonSettings(
        String cluster,
        DaemonId daemonId,
        String region,
        AvailabilityZone zone,
        ServiceName service,
        String host,
        int httpPort,
        int adminPort,
        int peerPort,
        List<URI> platformUrls,
        URI backendUrl,
        LeaseOptions lease,
        LimitOptions limits,
        LogLevel logLevel,
        Optional<Path> traceFile) {
    /** Copies the list. */
    public DaemonSettings {
        platformUrls = List.copyOf(platformUrls);
    }

    /** Returns the address for clients. */
    public Endpoint httpEndpoint() {
        return new Endpoint(host, httpPort);
    }

    /** Returns the address for operators. */
    public Endpoint adminEndpoint() {
        return new Endpoint(host, adminPort);
    }

    /** Returns the address for other daemons. */
    public Endpoint peerEndpoint() {
        return new Endpoint(host, peerPort);
    }

    /**
     * Reads and validates a settings file.
     *
     * @throws io.daisyhoist.core.config.InvalidConfigException with all faults of the file
     * @throws io.daisyhoist.core.error.DaisyhoistException with code {@code USAGE}, if the file cannot be read
     */
    public static DaemonSettings load(Path file) {
        return DaemonSettingsReader.load(file);
    }

    /**
     * Validates the text of a settings file.
     *
     * @param file name for the fault messages
     * @throws io.daisyhoist.core.config.InvalidConfigException with all faults of the file
     */
    public static DaemonSettings parse(String file, String toml) {
        return new DaemonSettingsReader(file, toml).read();
    }
}
