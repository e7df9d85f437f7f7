package io.daisyhoist.daemon.connection;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import io.vertx.core.MultiMap;

/** Selects the headers that are passed on between hops. Stateless. */
public final class HopByHopHeaders {
    /** Fields of one hop (RFC 9110, 7.6.1), and those that each hop sets itself. */
    private static final Set<String> NOT_FORWARDED = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length",
            "host",
            "traceparent");

    /** Prefix of the project's own fields, which are never copied from one hop to the next. */
    private static final String OWN_PREFIX = "daisyhoist-";

    private HopByHopHeaders() {}

    /** Returns the end-to-end headers, without the project's own, in their order. */
    public static List<HttpField> endToEnd(MultiMap headers) {
        Set<String> named = namedByConnection(headers);
        List<HttpField> kept = new ArrayList<>();
        for (Map.Entry<String, String> field : headers) {
            String name = field.getKey().toLowerCase(Locale.ROOT);
            if (!NOT_FORWARDED.contains(name) && !name.startsWith(OWN_PREFIX) && !named.contains(name)) {
                kept.add(new HttpField(field.getKey(), field.getValue()));
            }
        }
        return List.copyOf(kept);
    }

    private static Set<String> namedByConnection(MultiMap headers) {
        Set<String> named = new TreeSet<>();
        for (String value : headers.getAll("connection")) {
            for (String name : value.split(",")) {
                named.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        return named;
    }
}
