package io.daisyhoist.testkit.launch;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Settings file of a daemon. Immutable.
 *
 * @param daemonId id of the daemon
 * @param region region
 * @param zone availability zone
 * @param service service of its backend server
 * @param httpPort port for clients
 * @param adminPort port for operators and announcements
 * @param peerPort port for other daemons
 * @param platformUrls base URLs of the platform
 * @param backendUrl base URL of its backend server
 */
public record DaemonSettingsFile(
        String daemonId,
        String region,
        String zone,
        String service,
        int httpPort,
        int adminPort,
        int peerPort,
        List<String> platformUrls,
        String backendUrl) {
    /** Address of all servers that the testkit starts. */
    public static final String LOOPBACK_HOST = "127.0.0.1";

    /** Copies the list. */
    public DaemonSettingsFile {
        platformUrls = List.copyOf(platformUrls);
    }

    /** Returns the URL of a port on the loopback address. */
    public static String url(int port) {
        return "http://" + LOOPBACK_HOST + ":" + port;
    }

    /** Returns the file as TOML. */
    public String toToml() {
        String urls = platformUrls.stream().map(DaemonSettingsFile::quoted).collect(Collectors.joining(", ", "[", "]"));
        return String.join(
                "\n",
                "cluster = \"testkit\"",
                "daemon_id = " + quoted(daemonId),
                "region = " + quoted(region),
                "zone = " + quoted(zone),
                "service = " + quoted(service),
                "host = " + quoted(LOOPBACK_HOST),
                "http_port = " + httpPort,
                "admin_port = " + adminPort,
                "peer_port = " + peerPort,
                "platform_urls = " + urls,
                "backend_url = " + quoted(backendUrl),
                "");
    }

    private static String quoted(String text) {
        return "\"" + text + "\"";
    }
}
