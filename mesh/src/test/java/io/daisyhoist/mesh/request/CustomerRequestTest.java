package io.daisyhoist.mesh.request;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import com.google.protobuf.ByteString;
import io.daisyhoist.core.customer.ApiKeyHash;
import io.daisyhoist.core.customer.Customer;
import io.daisyhoist.core.customer.CustomerName;
import io.daisyhoist.core.customer.CustomerTable;
import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.retry.FleetRetryBudget;
import io.daisyhoist.core.route.ClientLimits;
import io.daisyhoist.core.route.FleetConfig;
import io.daisyhoist.core.route.Route;
import io.daisyhoist.core.route.RouteKind;
import io.daisyhoist.core.route.RouteTable;
import io.daisyhoist.core.route.WeightedService;
import io.daisyhoist.core.routing.LoadBalancer;
import io.daisyhoist.mesh.connection.BackendOutcome;
import io.daisyhoist.mesh.connection.BackendRequestData;
import io.daisyhoist.mesh.connection.ForwardCodec;
import io.daisyhoist.mesh.connection.TestHeaderNames;
import io.daisyhoist.mesh.telemetry.FleetMetrics;
import io.daisyhoist.mesh.version.FleetSnapshot;
import io.daisyhoist.wire.proto.ForwardRequest;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.net.NetSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Requests from a client to a backend server, forwarded by peer messages, in a fleet with customers. */
class CustomerRequestTest {
    private static final String KEY = "sk-4f3c1e77aa";
    private static final String KEY_HEADER = "Customer-Key: " + KEY + "\r\n";
    private static final int CUSTOMER_PRIORITY = 7;
    private static final Customer CUSTOMER = new Customer(
            new CustomerName("acme"),
            Set.of(ApiKeyHash.ofKey(KEY)),
            OptionalInt.of(CUSTOMER_PRIORITY),
            Optional.empty());
    private static final CustomerTable CUSTOMERS = new CustomerTable(List.of(CUSTOMER));
    private static final CustomerTable KEY_REMOVED = new CustomerTable(
            List.of(new Customer(new CustomerName("acme"), Set.of(), OptionalInt.empty(), Optional.empty())));

    private final List<String> arrivals = new CopyOnWriteArrayList<>();
    private final List<NetSocket> unanswered = new CopyOnWriteArrayList<>();
    private final List<BackendRequestData> forwarded = new CopyOnWriteArrayList<>();
    private final StringBuffer logged = new StringBuffer();
    private final Handler capture = new LogCapture();
    private final Logger logger = Logger.getLogger("io.daisyhoist");
    private final AdmissionFixture fixture = new AdmissionFixture(1, this::onBackendConnection);
    private volatile Runnable onTheWay = () -> {};
    private volatile boolean backendAnswers = true;
    private int port;

    private final class LogCapture extends Handler {
        @Override
        public void publish(LogRecord entry) {
            logged.append(entry.getMessage()).append(entry.getThrown()).append('\n');
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }

    @BeforeEach
    void start() {
        logger.addHandler(capture);
        ClientServer server = new ClientServer(fixture.vertx, context(), TestHeaderNames.NAMES, fixture.keyCheck);
        port = AdmissionFixture.result(server.listenOnFreePort("127.0.0.1")).actualPort();
        configure(CUSTOMERS);
        fixture.confirmation.onConfirmed(fixture.confirmation.ask(), Duration.ZERO);
    }

    /** Guards against keys in any log line of any test, and in what a backend server gets if the fleet has customers. */
    @AfterEach
    void close() {
        logger.removeHandler(capture);
        fixture.close();
        assertFalse(logged.toString().contains(KEY), logged.toString());
    }

    private void configure(CustomerTable customers) {
        FleetConfig config = new FleetConfig(
                1,
                new RouteTable(List.of(route("/x/", false), route("/open/", true))),
                Map.of(),
                ClientLimits.DEFAULT,
                customers);
        FleetMember member = new FleetMember(
                new DaemonId("d"),
                1,
                new AvailabilityZone("z"),
                "127.0.0.1",
                1,
                AdmissionFixture.SERVICE,
                Optional.of(new FleetMember.MemberBackend("b", 1, 1, true)));
        fixture.fleet = new FleetSnapshot(Optional.of(config), Set.of(), Map.of(member.daemon(), member), Map.of());
    }

    private static Route route(String prefix, boolean anonymous) {
        return new Route(
                prefix,
                "h",
                prefix,
                RouteKind.IDEMPOTENT,
                Duration.ofSeconds(5),
                Duration.ofSeconds(4),
                1,
                List.of(new WeightedService(AdmissionFixture.SERVICE, 1)),
                1,
                anonymous);
    }

    private RequestContext context() {
        return new RequestContext(
                fixture.vertx,
                fixture.time,
                () -> fixture.fleet,
                AdmissionFixture.SERVICE,
                (member, request, queueWait, cancelled) -> forward(request, queueWait, cancelled),
                new LoadBalancer(fixture.time, new SplittableRandom(1), new AvailabilityZone("z")),
                new FleetRetryBudget(fixture.time, 0.2, 50, Duration.ofSeconds(10)),
                new FleetMetrics());
    }

    private Future<BackendOutcome> forward(BackendRequestData request, Duration queueWait, Future<Void> cancelled) {
        ForwardRequest message =
                ForwardCodec.encode(request, queueWait, fixture.time).getForwardRequest();
        assertFalse(message.toString().contains(KEY) && keysNeeded(), "a key in a message to another daemon");
        onTheWay.run();
        BackendRequestData received = ForwardCodec.decode(message, fixture.time);
        forwarded.add(received);
        Promise<BackendOutcome> outcome = Promise.promise();
        fixture.context.runOnContext(
                run -> fixture.admission.run(received, queueWait, cancelled).onComplete(outcome));
        return outcome.future();
    }

    private boolean keysNeeded() {
        return fixture.fleet
                .config()
                .filter(config -> !config.customers().isEmpty())
                .isPresent();
    }

    private void onBackendConnection(NetSocket socket) {
        socket.handler(bytes -> {
            arrivals.add(bytes.toString());
            unanswered.add(socket);
            if (backendAnswers) {
                answer();
            }
        });
    }

    /** Answers the latest request of the backend server. */
    private void answer() {
        String request = arrivals.get(arrivals.size() - 1);
        String id = request.replaceAll("(?is).*\r\nid: ([^\r]*)\r\n.*", "$1");
        unanswered
                .remove(unanswered.size() - 1)
                .write("HTTP/1.1 200 OK\r\nId: " + id + "\r\nSignature: s\r\nContent-Length: 0\r\n\r\n");
    }

    private Socket send(String path, String id, String headers) throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(10_000);
        socket.getOutputStream()
                .write(("GET " + path + " HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n" + headers + "\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    private static int status(Socket socket) throws IOException {
        try (socket) {
            String line = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
                    .readLine();
            return Integer.parseInt(line.split(" ")[1]);
        }
    }

    private int request(String path, String headers) throws IOException {
        return status(send(path, "1", headers));
    }

    @Nested
    class Headers {
        /** Guards against a backend server that gets the key, or the customer that the client claims to be. */
        @Test
        void validKey_backendGetsTheCustomerInPlaceOfTheKey() throws IOException {
            assertEquals(200, request("/x/", "cUSTOMER: other\r\n" + KEY_HEADER + "Customer: third\r\n"));
            String received = arrivals.get(0);
            assertTrue(received.contains("\r\nCustomer: acme\r\n"), received);
            assertFalse(received.contains(KEY) || received.toLowerCase().contains("customer-key"), received);
            assertFalse(received.contains("other") || received.contains("third"), received);
            assertEquals(CUSTOMER_PRIORITY, forwarded.get(0).priority());
        }

        /** Guards against a customer that a client names on a route without keys, and against a key that is passed on. */
        @Test
        void anonymousRoute_needsNoKeyAndHasNoCustomer() throws IOException {
            assertEquals(200, request("/open/", "Customer: acme\r\n" + KEY_HEADER));
            String received = arrivals.get(0).toLowerCase();
            assertFalse(received.contains("customer") || received.contains(KEY), received);
            assertEquals(1, forwarded.get(0).priority());
        }

        /** Guards against a change for fleets without customers, where both names are ordinary header fields. */
        @Test
        void fleetWithoutCustomers_headersArePassedOn() throws IOException {
            configure(CustomerTable.EMPTY);
            assertEquals(200, request("/x/", "Customer: x\r\nCustomer-Key: y\r\n"));
            assertTrue(arrivals.get(0).contains("Customer: x\r\n"), arrivals.get(0));
            assertTrue(arrivals.get(0).contains("Customer-Key: y\r\n"), arrivals.get(0));
        }

        /** Guards against a key that a daemon without the customers' configuration has passed on as an ordinary field. */
        @Test
        void customersAddedOnTheWay_keyIsRemovedBeforeTheWrite() throws IOException {
            configure(CustomerTable.EMPTY);
            onTheWay = () -> configure(CUSTOMERS);
            assertEquals(200, request("/x/", "Customer-Key: y\r\nCustomer: x\r\n"));
            assertFalse(arrivals.get(0).toLowerCase().contains("customer"), arrivals.get(0));
        }

        /** Guards against header values that a check takes for a key, or that end the connection without a response. */
        @Test
        void oddKeys_areRefused() throws IOException {
            for (String odd : List.of(
                    "",
                    "Customer-Key:\r\n",
                    "Customer-Key: \t \r\n",
                    KEY_HEADER + KEY_HEADER,
                    KEY_HEADER + "customer-key: x\r\n",
                    "Customer-Key: " + KEY + "," + KEY + "\r\n",
                    "Customer-Key: Bearer " + KEY + "\r\n",
                    "Customer-Key: " + KEY.toUpperCase() + "\r\n",
                    "Customer-Key: \"" + KEY + "\"\r\n",
                    "Customer-Key: " + KEY.repeat(500) + "\r\n",
                    "Customer-Key: \u00fc\u00ff" + KEY + "\r\n",
                    "X-Customer-Key: " + KEY + "\r\n")) {
                assertEquals(401, request("/x/", odd), odd);
            }
            assertEquals(200, request("/x/", "customer-KEY:   " + KEY + "  \r\n"));
            assertEquals(1, arrivals.size());
        }

        @Test
        void randomKeys_areNeverAccepted() throws IOException {
            Random random = new Random(1);
            for (int i = 0; i < 200; i++) {
                StringBuilder key = new StringBuilder(KEY);
                for (int change = 0; change <= random.nextInt(3); change++) {
                    char character = (char) (random.nextInt(5) == 0 ? random.nextInt(256) : 33 + random.nextInt(94));
                    key.insert(
                            random.nextInt(key.length() + 1), character == '\r' || character == '\n' ? '_' : character);
                }
                boolean same = key.toString().strip().equals(KEY);
                int status = request("/x/", "Customer-Key: " + key + "\r\n");
                // 400: the value is not allowed in a header field.
                assertTrue(same || status == 401 || status == 400, key + ": " + status);
            }
        }
    }

    @Nested
    class Confirmation {
        /** Guards against a final status, or a run, while it is not known which keys are valid. */
        @Test
        void unconfirmed_isNotRunExceptOnAnonymousRoutes() throws IOException {
            fixture.confirmationClock.advance(Duration.ofMillis(4_500));
            assertEquals(503, request("/x/", KEY_HEADER));
            assertEquals(503, request("/x/", "Customer-Key: unknown\r\n"));
            assertEquals(401, request("/x/", ""));
            assertEquals(200, request("/open/", ""));
            assertEquals(1, arrivals.size());
        }

        /** Guards against a final status of a daemon that is behind by one configuration. */
        @Test
        void unknownKeyWhileConfirmationIsOld_isNotFinal() throws IOException {
            fixture.confirmationClock.advance(Duration.ofMillis(2_500));
            assertEquals(503, request("/x/", "Customer-Key: new\r\n"));
            assertEquals(200, request("/x/", KEY_HEADER));
        }

        /** Guards against a final status of a daemon that has just started. */
        @Test
        void noConfiguration_isNotRun() throws IOException {
            fixture.fleet = FleetSnapshot.EMPTY;
            assertEquals(503, request("/x/", KEY_HEADER));
            assertEquals(503, request("/x/", ""));
        }
    }

    @Nested
    class Revocation {
        /** Guards against a request that runs because its key was checked when it arrived, and removed while it waited. */
        @Test
        void keyRemovedWhileQueued_isNotRun() throws IOException {
            backendAnswers = false;
            Socket first = send("/x/", "1", KEY_HEADER);
            await().until(() -> arrivals.size() == 1);
            Socket second = send("/x/", "2", KEY_HEADER);
            await().until(() -> forwarded.size() == 2 && fixture.admission.busy() == 2);
            configure(KEY_REMOVED);
            answer();
            assertEquals(200, status(first));
            assertEquals(503, status(second));
            assertEquals(1, arrivals.size());
        }

        /** Guards against the same while the daemon of the backend server loses the store. */
        @Test
        void confirmationEndsWhileQueued_isNotRun() throws IOException {
            backendAnswers = false;
            Socket first = send("/x/", "1", KEY_HEADER);
            await().until(() -> arrivals.size() == 1);
            Socket second = send("/x/", "2", KEY_HEADER);
            await().until(() -> forwarded.size() == 2 && fixture.admission.busy() == 2);
            fixture.confirmationClock.advance(Duration.ofSeconds(5));
            answer();
            assertEquals(200, status(first));
            assertEquals(503, status(second));
            assertEquals(1, arrivals.size());
        }

        @Test
        void keyRemovedOnTheWay_isNotRun() throws IOException {
            onTheWay = () -> configure(KEY_REMOVED);
            assertEquals(503, request("/x/", KEY_HEADER));
            assertEquals(0, arrivals.size());
        }

        /** Guards against a daemon that runs what another one says about a customer that it does not know. */
        @Test
        void customerUnknownToTheWriter_isNotRun() throws IOException {
            onTheWay = () -> configure(new CustomerTable(List.of(new Customer(
                    new CustomerName("other"), CUSTOMER.apiKeys(), OptionalInt.empty(), Optional.empty()))));
            assertEquals(503, request("/x/", KEY_HEADER));
            assertEquals(0, arrivals.size());
        }

        /** Guards against a message that names a customer and proves no key. */
        @Test
        void decode_incompleteCredential_isRejected() {
            ForwardRequest complete = ForwardCodec.encode(fixture.request("1"), Duration.ZERO, fixture.time)
                    .getForwardRequest();
            for (ForwardRequest.Builder odd : List.of(
                    complete.toBuilder().setCustomer("acme"),
                    complete.toBuilder().setCustomerKeyHash(ByteString.EMPTY),
                    complete.toBuilder().setCustomer("acme").setCustomerKeyHash(ByteString.EMPTY),
                    complete.toBuilder()
                            .setCustomer("a b")
                            .setCustomerKeyHash(
                                    ByteString.copyFrom(ApiKeyHash.ofKey(KEY).bytes())))) {
                assertThrows(IllegalArgumentException.class, () -> ForwardCodec.decode(odd.build(), fixture.time));
            }
        }
    }
}
