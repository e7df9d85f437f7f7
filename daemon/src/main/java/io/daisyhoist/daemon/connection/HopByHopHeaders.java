package io.daisyhoist.daemon.connection;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import io.vertx.core.MultiMap;

/** Selects the headers that are forwarded end to end. Stateless. */
public final class HopByHopHeaders {
    /** Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that each hop sets itself. */
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

    /** Prefix of the Daisyhoist headers, which are never copied from one hop to the next. */
    private static final String DAISYHOIST_PREFIX = "daisyhoist-";

    private HopByHopHeaders() {}

    /** Returns the end-to-end headers in their original order, without Daisyhoist headers. */
    public static List<HttpField> endToEnd(MultiMap headers) {
        Set<String> connectionHeaders = listedInConnectionHeader(headers);
        List<HttpField> endToEnd = new ArrayList<>();
        for (Map.Entry<String, String> field : headers) {
            String name = field.getKey().toLowerCase(Locale.ROOT);
            if (!NOT_FORWARDED.contains(name)
                    && !name.startsWith(DAISYHOIST_PREFIX)
                    && !connectionHeaders.contains(name)) {
                endToEnd.add(new HttpField(field.getKey(), field.getValue()));
            }
        }
        return List.copyOf(endToEnd);
    }

    private static Set<String> listedInConnectionHeader(MultiMap headers) {
        Set<String> connectionHeaders = new TreeSet<>();
        for (String value : headers.getAll("connection")) {
            for (String name : value.split(",")) {
                connectionHeaders.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        return connectionHeaders;
    }
}
