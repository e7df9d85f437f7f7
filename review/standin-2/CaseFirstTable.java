import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The store comes back from a copy from before the first registrations, while it turns the only holder's daemon away. */
final class CaseFirstTable {
    private static final double TURNED_AWAY_S = 9.0;

    public static void main(String[] args) throws Exception {
        Fleet fleet = new Fleet(Path.of(args[0]));
        try {
            run(fleet);
        } catch (Exception e) {
            Fleet.finish(fleet, 2, e.toString());
        }
    }

    private static void run(Fleet fleet) throws Exception {
        Link linkOfHolder = new Link("127.0.0.1", "127.0.0.1", fleet.store.port());
        Machine holder = fleet.add("zone-a", "gamma", linkOfHolder);
        fleet.add("zone-b", "alpha");
        fleet.add("zone-c", "alpha");
        fleet.configure(new Fleet.Config(7)
                .route("r-key", "one.example", "/key/", "non_idempotent", "gamma", 1500)
                .service("gamma", true)
                .service("alpha", false));
        Store.Copy copy = fleet.store.copy();
        double copied = fleet.log.seconds();
        List<Worker> workers = new ArrayList<>();
        fleet.startAll();
        for (Machine machine : fleet.machines) {
            workers.add(new Worker(machine, "i-" + machine.node, 6, machine.service.equals("gamma"), fleet.log));
        }
        Worker first = workers.get(0);
        fleet.awaitReady(25);
        for (int i = 0; i < 200 && first.heldKeys() < 65536; i++) {
            Thread.sleep(50);
        }
        if (first.heldKeys() < 65536) {
            throw new IllegalStateException("keys are not held");
        }
        fleet.log.line(first.id + " holds all keys");
        Machine added = fleet.add("zone-b", "gamma");
        ConcurrentMap<String, String> sent = new ConcurrentHashMap<>();
        for (Machine machine : fleet.machines) {
            Threads.start("client", () -> {
                Random random = new Random(machine.node.hashCode());
                while (true) {
                    int key = random.nextInt(65536);
                    Client answer = Client.request(machine, "GET", "one.example", "/key/x?ms=20", 1500,
                            "Shard-Key: " + key + "\r\n", new byte[0]);
                    sent.put(answer.id, machine.node);
                    fleet.log.line("request " + answer.id + " key " + key + " at " + machine.node + ": " + answer.status + " "
                            + answer.text + answer.failure);
                    Thread.sleep(40);
                }
            });
        }
        Thread.sleep(300);
        if (fleet.trouble) {
            fleet.log.line("the store turns away " + holder.node + ", and is away");
            linkOfHolder.turnAway(true);
            fleet.store.goAway();
        }
        double began = fleet.log.seconds();
        fleet.log.line(added.node + " is added, with an empty worker");
        fleet.start(added);
        Worker second = new Worker(added, "i-" + added.node, 6, true, fleet.log);
        workers.add(second);
        Thread.sleep(500);
        if (fleet.trouble) {
            fleet.store.comeBack(copy);
            fleet.log.line(String.format(Locale.ROOT, "the copy is %.1f s older than the store was", began - copied));
        }
        double overlapFrom = 0;
        double overlapTo = 0;
        int most = 0;
        boolean served = !fleet.trouble;
        while (fleet.log.seconds() < began + 20) {
            byte[] owners = new byte[65536];
            AtomicInteger both = new AtomicInteger();
            first.mark(owners, (byte) 1, (key, one, other) -> both.incrementAndGet());
            second.mark(owners, (byte) 2, (key, one, other) -> both.incrementAndGet());
            double now = fleet.log.seconds();
            if (both.get() > 0) {
                if (overlapFrom == 0) {
                    overlapFrom = now;
                    fleet.log.line("both workers hold " + both + " keys");
                }
                overlapTo = now;
                most = Math.max(most, both.get());
            }
            if (!served && now > began + TURNED_AWAY_S) {
                served = true;
                linkOfHolder.turnAway(false);
                fleet.log.line("the store serves " + holder.node + " again");
            }
            Thread.sleep(10);
        }
        int runsOfFirst = runs(first, overlapFrom, overlapTo);
        int runsOfSecond = runs(second, overlapFrom, overlapTo);
        boolean broken = most > 0 && (overlapTo - overlapFrom > 0.5 || runsOfFirst > 0 && runsOfSecond > 0);
        Fleet.finish(fleet, broken ? 1 : 0, String.format(Locale.ROOT,
                "two workers held up to %d keys at the same time for %.2f s, from %.2f s after the store went away;"
                        + " requests begun on keys in that time: %d and %d; the second worker held %d keys at the end",
                most, overlapTo - overlapFrom, overlapFrom - began, runsOfFirst, runsOfSecond, second.heldKeys()));
    }

    private static int runs(Worker worker, double from, double to) {
        synchronized (worker.runs) {
            return (int) worker.runs.stream()
                    .filter(run -> run.readSeconds() >= from && run.readSeconds() <= to)
                    .count();
        }
    }
}
