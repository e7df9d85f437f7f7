import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker leaves; the store comes back from a copy from before that, and the daemon of the worker is started again. */
final class CaseLeave {
    private static final double DRAIN_S = 2.0;
    private static final double CONTACT_S = 3.0;
    private static final double LATE_S = 4.0;
    private static final double SERVES_S = 14.0;

    public static void main(String[] args) throws Exception {
        Fleet fleet = new Fleet(Path.of(args[0]));
        try {
            run(fleet);
        } catch (Exception e) {
            Fleet.finish(fleet, 2, e.toString());
        }
    }

    private static void run(Fleet fleet) throws Exception {
        for (String zone : List.of("zone-a", "zone-b", "zone-c")) {
            fleet.add(zone, "beta");
        }
        fleet.configure(new Fleet.Config(7)
                .route("r-one", "one.example", "/one/", "non_idempotent", "beta", 1500)
                .service("beta", false));
        fleet.startAll();
        List<Worker> workers = new ArrayList<>();
        for (Machine machine : fleet.machines) {
            workers.add(new Worker(machine, "i-" + machine.node, 6, false, fleet.log));
        }
        fleet.awaitReady(25);
        Thread.sleep(3_000);
        ConcurrentMap<String, Double> sent = new ConcurrentHashMap<>();
        ConcurrentMap<String, Integer> statuses = new ConcurrentHashMap<>();
        for (int i = 0; i < 6; i++) {
            Machine machine = fleet.machines.get(i % 3);
            Random random = new Random(i);
            Threads.start("client", () -> {
                while (true) {
                    double at = fleet.log.seconds();
                    Client answer = Client.request(machine, "GET", "one.example", "/one/x?ms=100", 1500, "", new byte[0]);
                    sent.put(answer.id, at);
                    statuses.put(answer.id, answer.status);
                    fleet.log.line(String.format(Locale.ROOT, "request %s at %s, sent at %.3f: %d %s%s", answer.id,
                            machine.node, at, answer.status, answer.text, answer.failure));
                    Thread.sleep(20 + random.nextInt(60));
                }
            });
        }
        Thread.sleep(2_000);
        Worker leaving = workers.get(0);
        Machine machine = leaving.machine;
        Store.Copy copy = fleet.store.copy();
        Thread.sleep(1_500);
        byte[] late = leaving.lateBeat();
        fleet.log.line(leaving.id + " sends a heartbeat that will be late, and leaves");
        int status = leaving.leave();
        double acknowledged = fleet.log.seconds();
        fleet.log.line("its leave is answered " + status);
        if (status != 200) {
            throw new IllegalStateException("the leave was not acknowledged");
        }
        double restarted = acknowledged;
        if (fleet.trouble) {
            Thread.sleep(200);
            fleet.store.goAway();
            fleet.log.line("the store is away; the daemon of " + machine.node + " is killed");
            machine.kill();
            Thread.sleep(500);
            fleet.store.comeBack(copy);
            fleet.log.line("the copy is from 1.5 s before the leave");
            fleet.start(machine);
            restarted = fleet.log.seconds();
        }
        sleepUntil(fleet, acknowledged + LATE_S);
        fleet.log.line("the late heartbeat arrives, and is answered " + leaving.deliver("heartbeat", late));
        sleepUntil(fleet, acknowledged + SERVES_S);
        double ended = fleet.log.seconds();
        leaving.end();
        fleet.log.line(leaving.id + " ends");
        Thread.sleep(2_500);
        double from = Math.max(acknowledged + DRAIN_S, restarted + CONTACT_S);
        int broken = 0;
        int lost = 0;
        synchronized (leaving.runs) {
            for (Worker.Run run : leaving.runs) {
                double sentAt = sent.getOrDefault(run.id(), 0.0);
                if (run.atSeconds() > from && sentAt > from) {
                    broken++;
                    boolean unanswered = statuses.getOrDefault(run.id(), 0) != 200;
                    lost += unanswered ? 1 : 0;
                    fleet.log.line(String.format(Locale.ROOT, "run of %s at %s, %.2f s after the acknowledgement%s", run.id(),
                            leaving.id, run.atSeconds() - acknowledged, unanswered ? ", without success" : ""));
                }
            }
        }
        Fleet.finish(fleet, broken > 0 ? 1 : 0, String.format(Locale.ROOT,
                "%d requests reached the leaving worker later than drain-ms after the acknowledgement, sent when all machines"
                        + " were in touch again; %d of them were lost with it", broken, lost));
    }

    private static void sleepUntil(Fleet fleet, double seconds) throws InterruptedException {
        Thread.sleep(Math.max(0, (long) ((seconds - fleet.log.seconds()) * 1_000)));
    }
}
