import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** Two of four workers of a service divided by key are lost for good; their daemons live on. */
final class CaseLost {
    private static final String[] KINDS = {"report", "record", "status"};
    private static final int LOST = 2;
    private static final int BUSY_KEYS = 200;

    private static final class Count {
        final AtomicInteger asked = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();

        double share() {
            return served.get() / (double) Math.max(1, asked.get());
        }
    }

    public static void main(String[] args) throws Exception {
        Fleet fleet = new Fleet(Path.of(args[0]));
        try {
            run(fleet);
        } catch (Exception e) {
            Fleet.finish(fleet, 2, e.toString());
        }
    }

    private static void run(Fleet fleet) throws Exception {
        String[] zones = {"zone-a", "zone-b", "zone-c", "zone-a", "zone-b", "zone-c"};
        for (int i = 0; i < zones.length; i++) {
            fleet.add(zones[i], i < 4 ? "gamma" : "alpha");
        }
        fleet.configure(new Fleet.Config(7)
                .route("r-report", "one.example", "/report/", "idempotent", "gamma", 1500)
                .route("r-record", "one.example", "/record/", "idempotent", "gamma", 1500)
                .route("r-status", "one.example", "/status/", "idempotent", "alpha", 1500)
                .service("gamma", true)
                .service("alpha", false));
        fleet.startAll();
        List<Worker> workers = new ArrayList<>();
        for (Machine machine : fleet.machines) {
            workers.add(new Worker(machine, "i-" + machine.node, 6, machine.service.equals("gamma"), fleet.log));
        }
        fleet.awaitReady(25);
        awaitKeys(fleet, workers);
        // For 15 s after their start, daemons also move keys that nobody uses.
        Thread.sleep(15_000);
        int busy = workers.get(LOST - 1).middleKey() - BUSY_KEYS / 2;
        fleet.log.line("busy keys of /report/: " + busy + " to " + (busy + BUSY_KEYS - 1) + ", at "
                + workers.get(LOST - 1).id);
        Count[] counts = {new Count(), new Count(), new Count()};
        Count[] late = {new Count(), new Count(), new Count()};
        ConcurrentHashMap<String, AtomicInteger> answers = new ConcurrentHashMap<>();
        ExecutorService senders = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });
        Random random = new Random(7);
        double begin = fleet.log.seconds();
        int lost = 0;
        double reported = begin;
        double end = begin + 60;
        while (fleet.log.seconds() < end) {
            double now = fleet.log.seconds();
            if (fleet.trouble && lost < LOST && now > begin + 1 + lost) {
                fleet.log.line("worker " + workers.get(lost).id + " crashes for good; its daemon lives on");
                workers.get(lost).end();
                lost++;
            }
            if (now > reported + 5) {
                reported = now;
                fleet.log.line("keys held at workers: " + workers.stream().filter(worker -> worker.sharded)
                        .map(worker -> worker.id + (worker.ended ? " (lost) " : " ") + worker.heldKeys()).toList()
                        + ", assignments in the store: " + assignments(fleet) + ", served so far: "
                        + String.format(Locale.ROOT, "report %.2f, record %.2f, status %.2f", counts[0].share(),
                                counts[1].share(), counts[2].share()));
            }
            for (int kind = 0; kind < KINDS.length; kind++) {
                boolean atBusyKey = kind == 0 && random.nextInt(100) < 95;
                int key = atBusyKey ? busy + random.nextInt(BUSY_KEYS) : random.nextInt(65536);
                Machine machine = fleet.machines.get(random.nextInt(fleet.machines.size()));
                int number = kind;
                boolean afterTakeover = now > begin + 35;
                senders.execute(() -> {
                    Client answer = Client.request(machine, "GET", "one.example", "/" + KINDS[number] + "/x?ms=20", 1500,
                            number < 2 ? "Shard-Key: " + key + "\r\n" : "", new byte[0]);
                    boolean served = answer.status == 200 && answer.stamp != null;
                    counts[number].asked.incrementAndGet();
                    counts[number].served.addAndGet(served ? 1 : 0);
                    if (afterTakeover) {
                        late[number].asked.incrementAndGet();
                        late[number].served.addAndGet(served ? 1 : 0);
                    }
                    answers.computeIfAbsent(KINDS[number] + " " + answer.status, any -> new AtomicInteger()).incrementAndGet();
                    fleet.log.line("request " + answer.id + " for /" + KINDS[number] + "/ key " + key + " at " + machine.node
                            + ": " + answer.status + " " + answer.text + answer.failure);
                });
            }
            Thread.sleep(80);
        }
        Thread.sleep(2_000);
        Count all = new Count();
        for (Count count : counts) {
            all.asked.addAndGet(count.asked.get());
            all.served.addAndGet(count.served.get());
        }
        boolean broken = false;
        StringBuilder text = new StringBuilder();
        for (int kind = 0; kind < KINDS.length; kind++) {
            boolean starved = counts[kind].share() < all.share() / 4;
            broken |= starved;
            text.append(String.format(Locale.ROOT, "%s served %d of %d (after 35 s %d of %d)%s, ", KINDS[kind],
                    counts[kind].served.get(), counts[kind].asked.get(), late[kind].served.get(), late[kind].asked.get(),
                    starved ? " STARVED" : ""));
        }
        Worker healthy = workers.get(LOST);
        text.append(String.format(Locale.ROOT, "all %.2f; %s", all.share(), assignments(fleet)));
        fleet.log.line("answers: " + answers + ", " + healthy.id + " holds " + healthy.heldKeys() + " keys");
        Fleet.finish(fleet, broken ? 1 : 0, text.toString());
    }

    private static void awaitKeys(Fleet fleet, List<Worker> workers) throws InterruptedException {
        for (int i = 0; i < 200; i++) {
            int held = workers.stream().filter(worker -> worker.sharded).mapToInt(Worker::heldKeys).sum();
            if (held == 65536) {
                fleet.log.line("all keys are held");
                return;
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException("keys are not held");
    }

    /** Returns how many keys the item of the assignments gives to each daemon, and the last fencing token. */
    private static String assignments(Fleet fleet) throws Exception {
        java.util.Map<String, Integer> keys = new java.util.TreeMap<>();
        com.fasterxml.jackson.databind.JsonNode table = Store.MAPPER.readTree(fleet.store.text("daisyhoist/ranges/gamma"));
        table.path("assignments").forEach(row -> keys.merge(
                row.path("daemon").asText(), row.path("to").asInt() - row.path("from").asInt() + 1, Integer::sum));
        return keys + " last token " + table.path("lastFence").asLong();
    }
}
