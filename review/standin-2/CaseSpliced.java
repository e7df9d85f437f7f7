import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/** A worker breaks off some of its answers, and sends a second answer behind them. */
final class CaseSpliced {
    private static final double SPOILT_SHARE = 0.02;
    private static final double SPOILT_S = 5.0;

    public static void main(String[] args) throws Exception {
        Fleet fleet = new Fleet(Path.of(args[0]));
        try {
            run(fleet);
        } catch (Exception e) {
            Fleet.finish(fleet, 2, e.toString());
        }
    }

    private static void run(Fleet fleet) throws Exception {
        fleet.add("zone-a", "alpha");
        fleet.add("zone-b", "beta");
        fleet.add("zone-c", "beta");
        fleet.configure(new Fleet.Config(7)
                .route("r-one", "one.example", "/one/", "non_idempotent", "beta", 1500)
                .service("alpha", false)
                .service("beta", false));
        fleet.startAll();
        ConcurrentMap<String, String> bodies = new ConcurrentHashMap<>();
        AtomicInteger spoilt = new AtomicInteger();
        AtomicReference<Double> until = new AtomicReference<>(0.0);
        for (Machine machine : fleet.machines) {
            boolean faulty = machine.node.endsWith("3");
            new Worker(machine, "i-" + machine.node, 6, false, fleet.log) {
                private final Random random = new Random(5);

                @Override
                byte[] body(Wire request, String path) {
                    String id = request.field("Attempt-Id");
                    String text = "booking " + id + " confirmed: " + ("crew " + id + " ").repeat(20);
                    bodies.put(id, text);
                    return text.getBytes(StandardCharsets.US_ASCII);
                }

                @Override
                void answer(Wire request, String fields, byte[] body, Socket socket, OutputStream out) throws Exception {
                    boolean spoil;
                    int missing;
                    synchronized (random) {
                        spoil = fleet.trouble
                                && faulty
                                && fleet.log.seconds() < until.get()
                                && random.nextDouble() < SPOILT_SHARE;
                        missing = 18 + random.nextInt(16);
                    }
                    if (!spoil) {
                        super.answer(request, fields, body, socket, out);
                        return;
                    }
                    spoilt.incrementAndGet();
                    fleet.log.line(id + " breaks off its answer to " + request.field("Attempt-Id") + " " + missing
                            + " bytes before its end, and sends a second one");
                    byte[] head = ("HTTP/1.1 200 X\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII);
                    byte[] second = new byte[head.length + body.length];
                    System.arraycopy(head, 0, second, 0, head.length);
                    System.arraycopy(body, 0, second, head.length, body.length);
                    byte[] broken = Arrays.copyOf(second, second.length - missing);
                    byte[] all = Arrays.copyOf(broken, broken.length + missing);
                    System.arraycopy(second, 0, all, broken.length, missing);
                    out.write(all);
                    out.flush();
                    Thread.sleep(5);
                    out.write(second, missing, second.length - missing);
                    out.flush();
                }
            };
        }
        fleet.awaitReady(25);
        Thread.sleep(3_000);
        until.set(fleet.log.seconds() + SPOILT_S);
        AtomicInteger asked = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger wrong = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            Machine machine = fleet.machines.get(i % 3);
            clients.add(Threads.start("client", () -> {
                for (int n = 0; n < 400; n++) {
                    Client answer = Client.request(machine, "GET", "one.example", "/one/x?ms=5", 1500, "", new byte[0]);
                    asked.incrementAndGet();
                    boolean success = answer.status == 200 && answer.stamp != null;
                    served.addAndGet(success ? 1 : 0);
                    boolean whole = answer.text.equals(bodies.get(answer.id));
                    fleet.log.line("request " + answer.id + " at " + machine.node + ": " + answer.status + (success && !whole
                            ? " MIXED, the body ends with " + tail(answer.text) + ", the worker's with "
                                    + tail(bodies.get(answer.id)) : ""));
                    wrong.addAndGet(success && !whole ? 1 : 0);
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        Fleet.finish(fleet, wrong.get() > 0 ? 1 : 0, String.format(Locale.ROOT,
                "%d of %d successes had a body that isn't the worker's whole body; %d answers were spoilt, %d requests sent",
                wrong.get(), served.get(), spoilt.get(), asked.get()));
    }

    private static String tail(String text) {
        String end = text.substring(Math.max(0, text.length() - 40));
        return "\"" + end.replace("\r", "\\r").replace("\n", "\\n") + "\"";
    }
}
