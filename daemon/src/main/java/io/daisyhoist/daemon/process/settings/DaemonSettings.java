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
 * @param cluster name that all daemons of a deployment share; a peer with a different name is rejected
 * @param daemonId unique name of this daemon in the cluster
 * @param region region of the instance
 * @param zone availability zone of the instance
 * @param service service of the local backend server
 * @param host numeric IP address on which all ports listen and which other daemons connect to
 * @param httpPort port for clients
 * @param adminPort port for operators, metrics and announcements
 * @param peerPort port for other daemons
 * @param platformUrls base URLs of the platform's key-value store, tried in order
 * @param backendUrl base URL of the backend server
 * @param lease lease durations and number of witnesses
 * @param limits limits of the client-facing HTTP server
 * @param logLevel minimum severity of logged events
 * @param traceFile file to which spans are written, if tracing is enabled
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
    /** Copies {@code platformUrls} defensively. */
    public DaemonSettings {
        platformUrls = List.copyOf(platformUrls);
    }

    /** Returns the address of the client port. */
    public Endpoint httpEndpoint() {
        return new Endpoint(host, httpPort);
    }

    /** Returns the address of the admin port. */
    public Endpoint adminEndpoint() {
        return new Endpoint(host, adminPort);
    }

    /** Returns the address of the peer port. */
    public Endpoint peerEndpoint() {
        return new Endpoint(host, peerPort);
    }

    /**
     * Reads and validates a settings file.
     *
     * @throws io.daisyhoist.core.config.InvalidConfigException with all errors in the file
     * @throws io.daisyhoist.core.error.DaisyhoistException with code {@code USAGE}, if the file cannot be read
     */
    public static DaemonSettings load(Path file) {
        return DaemonSettingsReader.load(file);
    }

    /**
     * Validates the text of a settings file.
     *
     * @param file file name used in error messages
     * @throws io.daisyhoist.core.config.InvalidConfigException with all errors in the file
     */
    public static DaemonSettings parse(String file, String toml) {
        return new DaemonSettingsReader(file, toml).read();
    }
}
