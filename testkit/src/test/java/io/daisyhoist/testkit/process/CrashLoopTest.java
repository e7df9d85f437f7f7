package io.daisyhoist.testkit.process;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.daisyhoist.testkit.TestHttpClient;
import io.daisyhoist.testkit.backend.BackendSettings;
import io.daisyhoist.testkit.backend.Execution;
import org.junit.jupiter.api.Test;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests a request that crashes each backend server that executes it. */
class CrashLoopTest {
    private static final String CRASHING_REQUEST_ID = "poison";

    /** Guards against retries of a crashing request that crash one backend server after another. */
    @Test
    void request_thatCrashesItsServer_takesAtMostTwo() {
        try (LoadedCluster loaded = LoadedCluster.start("crash-loop", false)) {
            List<Node> nodes = loaded.cluster().nodes();
            await("request refused as crash suspect")
                    .atMost(Duration.ofSeconds(30))
                    .pollInterval(Duration.ofMillis(100))
                    .until(() -> sendCrashingRequest(nodes).equals(Optional.of("crash-suspect")));
            List<Execution> crashedExecutions = nodes.stream()
                    .flatMap(node -> node.backend().executionLog().entriesSince(0).stream())
                    .filter(execution -> execution.requestId().equals(CRASHING_REQUEST_ID))
                    .toList();
            loaded.awaitAllPartitionsServed(LoadedCluster.nowMicros());
            loaded.stopLoadAndCheck();
            loaded.assertBound("servers_lost", crashedExecutions.size(), 2);
            assertEquals(Optional.of("crash-suspect"), sendCrashingRequest(nodes));
        }
    }

    private static Optional<String> sendCrashingRequest(List<Node> nodes) {
        String url = nodes.get(0).clientUrl() + "/s/" + Cluster.SERVICE + "/k/key-1/state";
        HttpResponse<String> response = TestHttpClient.send(
                "GET",
                url,
                "",
                "X-Request-Id",
                CRASHING_REQUEST_ID,
                BackendSettings.DEFAULT_CRASH_HEADER,
                "1",
                "Daisyhoist-Deadline-Ms",
                "2000");
        return response.headers().firstValue("Daisyhoist-Refusal");
    }
}
