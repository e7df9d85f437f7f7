package io.daisyhoist.core.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route of a request by host and longest path prefix.
 *
 * <p>A lookup takes at most one hash lookup per slash in the path, independent of the number of routes. Immutable.
 */
public final class RouteTable {
    private final Map<String, Map<String, Route>> routesByHostAndPrefix = new HashMap<>();

    /** Creates a table; of two routes with the same host and prefix, the later one wins. */
    public RouteTable(Collection<Route> routes) {
        for (Route route : routes) {
            routesByHostAndPrefix
                    .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new HashMap<>())
                    .put(route.prefix(), route);
        }
    }

    /**
     * Finds the route of a request.
     *
     * @param host host of the request, with or without port
     * @param path path of the request, without query string
     */
    public Optional<Route> find(String host, String path) {
        Map<String, Route> routesByPrefix =
                routesByHostAndPrefix.get(withoutPort(host).toLowerCase(Locale.ROOT));
        if (routesByPrefix == null) {
            return Optional.empty();
        }
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route route = routesByPrefix.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        return colon < 0 || host.endsWith("]") ? host : host.substring(0, colon);
    }
}
