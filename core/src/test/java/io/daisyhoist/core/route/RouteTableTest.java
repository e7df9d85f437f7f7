package io.daisyhoist.core.route;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.daisyhoist.core.model.ServiceName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class RouteTableTest {
    private static Route route(String name, String host, String prefix, WeightedService... services) {
        return new Route(
                name,
                host,
                prefix,
                RouteKind.IDEMPOTENT,
                Duration.ofSeconds(1),
                Duration.ofMillis(200),
                1,
                List.of(services),
                2,
                false);
    }

    @Nested
    class Find {
        private final RouteTable table = new RouteTable(List.of(
                route("short", "a.example", "/x/"),
                route("long", "a.example", "/x/y/"),
                route("other", "b.example", "/x/")));

        private Optional<String> find(String host, String path) {
            return table.find(host, path).map(Route::name);
        }

        /** Guards against matching a shorter prefix although a longer one also matches. */
        @Test
        void find_longestPrefixWins() {
            assertEquals(Optional.of("long"), find("a.example", "/x/y/z"));
            assertEquals(Optional.of("short"), find("a.example", "/x/yy"));
            assertEquals(Optional.of("short"), find("a.example", "/x/y"));
        }

        @Test
        void find_hostMatchesIgnoringPortAndCase() {
            assertEquals(Optional.of("other"), find("B.example:8080", "/x/y/z"));
            assertEquals(Optional.empty(), find("c.example", "/x/"));
        }

        /** Guards against matching a prefix within a path segment. */
        @Test
        void find_prefixEndsAtSlash() {
            assertEquals(Optional.empty(), find("a.example", "/xy/"));
            assertEquals(Optional.empty(), find("a.example", "/"));
        }
    }

    @Nested
    class Weights {
        /** Guards against proportions that hold only over long sequences of requests. */
        @Test
        void next_keepsProportionsInShortSequences() {
            Route split = route(
                    "split",
                    "a.example",
                    "/",
                    new WeightedService(new ServiceName("big"), 90),
                    new WeightedService(new ServiceName("small"), 10));
            WeightedServiceSelector selector = new WeightedServiceSelector();
            for (int round = 0; round < 20; round++) {
                Map<ServiceName, Integer> counts = new HashMap<>();
                for (int i = 0; i < 10; i++) {
                    counts.merge(selector.next(1, split), 1, Integer::sum);
                }
                assertEquals(1, counts.get(new ServiceName("small")));
            }
        }

        /** Guards against requests to a service with weight zero. */
        @Test
        void next_neverSelectsWeightZero() {
            Route split = route(
                    "split",
                    "a.example",
                    "/",
                    new WeightedService(new ServiceName("off"), 0),
                    new WeightedService(new ServiceName("on"), 5));
            WeightedServiceSelector selector = new WeightedServiceSelector();
            for (int i = 0; i < 50; i++) {
                assertEquals(new ServiceName("on"), selector.next(1, split));
            }
        }
    }
}
