package io.daisyhoist.testkit.process;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import io.daisyhoist.daemon.crowd.ExcessiveClientsTestCase;
import io.daisyhoist.daemon.crowd.ServingProcess;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.awaitility.Awaitility.await;

/** Excessive clients at the client port of {@code daisyhoistd}, which forwards most requests to the other daemons. */
class ExcessiveClientsTest extends ExcessiveClientsTestCase {
    private static final String KEY = "key-1";
    private static final int HEAP_MEGABYTES = 64;

    /** Memory of the smallest instance and default heap of the daemon, of which the test lowers the heap. */
    private static final int INSTANCE_MEGABYTES = 330;

    private static final int DEFAULT_HEAP_MEGABYTES = 192;
    private static final int MAX_RESIDENT_MEGABYTES = INSTANCE_MEGABYTES - (DEFAULT_HEAP_MEGABYTES - HEAP_MEGABYTES);
    private static final int MAX_DESCRIPTORS = 240;
    private static final String LIMITS = """
            [limits]
            max_header_bytes = %d
            max_body_bytes = %d
            header_timeout_ms = 1000
            idle_timeout_ms = 3000
            """.formatted(MAX_HEADER_BYTES, MAX_BODY_BYTES);
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration CROWD_DURATION = Duration.ofSeconds(5);

    @TempDir
    private static Path folder;

    private static Cluster cluster;
    private static Node target;

    ExcessiveClientsTest() {
        super(new Bounds(MAX_RESIDENT_MEGABYTES, MAX_DESCRIPTORS, CROWD_DURATION));
    }

    @BeforeAll
    static void startCluster() {
        cluster = Cluster.start(folder, false);
        cluster.nodes().get(0).close();
    }

    @AfterAll
    static void stopCluster() {
        cluster.close();
    }

    /** Starts the daemon unless it has outlived the crowd of the test before. */
    @BeforeEach
    void startTarget() {
        target = cluster.nodes().get(0);
        if (!target.daemon().isAlive()) {
            target.startDaemon(LIMITS, MAX_DESCRIPTORS);
        }
        await().atMost(START_TIMEOUT).until(target::isReady);
        await().atMost(START_TIMEOUT).until(daemon()::isServing);
    }

    /** The crowd sends large bodies to the other daemons, which forward them all to the owner of one key. */
    @Test
    void largeBodiesForwardedByOtherDaemons() throws Exception {
        String owner = target.ownerOf(KEY);
        target = cluster.nodes().stream()
                .filter(node -> node.name().equals(owner))
                .findFirst()
                .orElseThrow();
        List<ServingProcess> others = cluster.nodes().stream()
                .filter(node -> node != target)
                .<ServingProcess>map(NodeDaemon::new)
                .toList();
        assertServesAfterLargeBodiesFrom(others);
    }

    @Override
    protected ServingProcess daemon() {
        return new NodeDaemon(target);
    }

    /** A daemon of the cluster. Stateless. */
    private record NodeDaemon(Node node) implements ServingProcess {
        @Override
        public InetSocketAddress clientAddress() {
            return address(node.clientUrl());
        }

        @Override
        public List<InetSocketAddress> internalAddresses() {
            return List.of(address(node.adminUrl()));
        }

        @Override
        public InetSocketAddress peerAddress() {
            return address(node.peerUrl());
        }

        private static InetSocketAddress address(String text) {
            URI url = URI.create(text);
            return new InetSocketAddress(url.getHost(), url.getPort());
        }

        @Override
        public String requestHead(String end) {
            return "PUT /s/" + Cluster.SERVICE + "/k/" + KEY
                    + "/x HTTP/1.1\r\nHost: archive\r\nDaisyhoist-Deadline-Ms: 5000\r\n" + end;
        }

        @Override
        public boolean isAlive() {
            return node.daemon().isAlive();
        }

        @Override
        public long pid() {
            return node.daemon().pid();
        }

        @Override
        public Path logFile() {
            return node.logFile();
        }
    }
}
