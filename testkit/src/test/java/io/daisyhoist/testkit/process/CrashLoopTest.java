package io.daisyhoist.testkit.process;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.daisyhoist.testkit.Http;
import io.daisyhoist.testkit.backend.BackendSettings;
import io.daisyhoist.testkit.backend.Execution;
import org.junit.jupiter.api.Test;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** A request that crashes each backend server that runs it. */
class CrashLoopTest {
    private static final String POISON = "poison";

    /** Guards against a retried request that takes down one backend server after the other. */
    @Test
    void request_thatCrashesItsServer_takesAtMostTwo() {
        try (LoadedCluster loaded = LoadedCluster.start("crash-loop", false)) {
            List<Node> nodes = loaded.cluster().nodes();
            await("refused as crash suspect")
                    .atMost(Duration.ofSeconds(30))
                    .pollInterval(Duration.ofMillis(100))
                    .until(() -> refusal(nodes).equals(Optional.of("crash-suspect")));
            List<Execution> poisoned = nodes.stream()
                    .flatMap(node -> node.backend().executionLog().entriesSince(0).stream())
                    .filter(run -> run.requestId().equals(POISON))
                    .toList();
            loaded.awaitAllServedSince(LoadedCluster.nowMicros());
            loaded.endAndCheck();
            loaded.assertBound("servers_lost", poisoned.size(), 2);
            assertEquals(Optional.of("crash-suspect"), refusal(nodes));
        }
    }

    private static Optional<String> refusal(List<Node> nodes) {
        String url = nodes.get(0).edgeUrl() + "/s/" + Cluster.SERVICE + "/k/key-1/state";
        HttpResponse<String> response = Http.send(
                "GET",
                url,
                "",
                "X-Request-Id",
                POISON,
                BackendSettings.DEFAULT_CRASH_HEADER,
                "1",
                "Daisyhoist-Deadline-Ms",
                "2000");
        return response.headers().firstValue("Daisyhoist-Refusal");
    }
}
