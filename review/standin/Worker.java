import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/** A worker beside a daemon: runs requests, sends heartbeats, holds keys. */
final class Worker {
    static final int HEARTBEAT_MILLIS = 870;

    record Hold(int from, int to, long fence, String handover) {}

    final String id;
    final String service;
    final String host;
    final int port;
    final int controlPort;
    final int slots;
    final boolean sharded;
    final long born = System.currentTimeMillis();
    volatile String state = "ready";
    volatile boolean beating = true;
    volatile int heartbeatsAcknowledged;
    volatile int largestReply;
    /** Decides what happens to a request; null answers it as usual. */
    volatile Http.Handler special;

    private final Semaphore free;
    private final List<Object> released = new ArrayList<>();
    private List<Hold> holds = List.of();
    private long holdsEndNanos;
    private long sequence;
    private long stamps;
    private Http.Server server;
    private volatile boolean ended;

    Worker(String id, String service, String host, int port, int controlPort, int slots, boolean sharded) {
        this.id = id;
        this.service = service;
        this.host = host;
        this.port = port;
        this.controlPort = controlPort;
        this.slots = slots;
        this.sharded = sharded;
        this.free = new Semaphore(slots);
    }

    void start() throws Exception {
        server = new Http.Server(host, port, this::handle);
        Main.thread("heartbeats-" + id, () -> {
            while (!ended) {
                long next = System.nanoTime() + HEARTBEAT_MILLIS * 1_000_000L;
                if (beating) {
                    int before = heartbeatsAcknowledged;
                    beat();
                    if (hasLeftOut && heartbeatsAcknowledged > before) {
                        // Another heartbeat within 100 ms after keys were released.
                        next = Math.min(next, System.nanoTime() + 50_000_000L);
                    }
                }
                Thread.sleep(Math.max(1, (next - System.nanoTime()) / 1_000_000));
            }
        });
    }

    private volatile boolean hasLeftOut;

    /** Ends the process: the port is closed, connections are reset, nothing is said. */
    void crash() {
        ended = true;
        server.close();
    }

    synchronized Map<String, Object> heartbeat() {
        List<Object> held = new ArrayList<>();
        if (System.nanoTime() < holdsEndNanos) {
            holds.forEach(hold -> held.add(List.of(hold.from(), hold.to(), hold.fence())));
        }
        sequence++;
        Map<String, Object> beat = Json.map(
                "address", host + ":" + port,
                "born", born,
                "info", Json.map("service", service, "version", "v1", "zone", "zone-a", "slots", slots),
                "status", Json.map("state", state, "seq", sequence, "cold-remaining-ms", 0));
        if (sharded) {
            beat.put("holds", held);
            beat.put("released", new ArrayList<>(released));
        }
        return beat;
    }

    private void beat() {
        Map<String, Object> beat = heartbeat();
        int releasedSent = sharded ? ((List<?>) beat.get("released")).size() : 0;
        long sentNanos = System.nanoTime();
        try (Http.Connection connection = new Http.Connection(host, controlPort, 1_000)) {
            Http.Message reply = connection.send(
                    "POST",
                    "/rpc?call=instances.heartbeat&of=" + id,
                    Map.of("Host", host, "Content-Type", "application/json"),
                    Json.write(beat).getBytes(StandardCharsets.UTF_8),
                    1_000);
            int bytes = reply.body.length;
            largestReply = Math.max(largestReply, bytes);
            // A reply acknowledges the heartbeat if it arrives within a second and is at most 4 KiB.
            if (reply.status() / 100 == 2 && bytes <= 4_096 && System.nanoTime() - sentNanos < 1_000_000_000L) {
                heartbeatsAcknowledged++;
                onReply(Json.object(reply.text()), sentNanos, releasedSent);
            }
        } catch (Exception e) {
            // Not acknowledged.
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized void onReply(Map<String, Object> reply, long sentNanos, int releasedSent) {
        released.subList(0, Math.min(releasedSent, released.size())).clear();
        hasLeftOut = false;
        if (!sharded || !reply.containsKey("holds")) {
            return;
        }
        long now = System.nanoTime();
        List<Hold> before = now < holdsEndNanos ? holds : List.of();
        List<Hold> next = new ArrayList<>();
        for (Object row : (List<Object>) reply.get("holds")) {
            List<Object> cells = (List<Object>) row;
            next.add(new Hold(
                    ((Long) cells.get(0)).intValue(),
                    ((Long) cells.get(1)).intValue(),
                    (Long) cells.get(2),
                    (String) cells.get(3)));
        }
        for (Hold hold : before) {
            releaseLeftOut(hold, next);
        }
        holds = next;
        holdsEndNanos = sentNanos + (Long) reply.get("hold-ms") * 1_000_000L;
        Main.onHolds(this, next);
    }

    /** Gives the parts of a former hold that are no longer listed a handover each. */
    private void releaseLeftOut(Hold hold, List<Hold> next) {
        int from = hold.from();
        TreeMap<Integer, Hold> sorted = new TreeMap<>();
        next.forEach(kept -> sorted.put(kept.from(), kept));
        for (Hold kept : sorted.values()) {
            if (kept.to() < from || kept.from() > hold.to()) {
                continue;
            }
            if (kept.from() > from) {
                release(from, kept.from() - 1);
            }
            from = kept.to() + 1;
        }
        if (from <= hold.to()) {
            release(from, hold.to());
        }
    }

    private void release(int from, int to) {
        released.add(List.of(from, to, String.format("%016x", Main.random.nextLong())));
        hasLeftOut = true;
    }

    synchronized boolean holdsKey(int key) {
        return System.nanoTime() < holdsEndNanos
                && holds.stream().anyMatch(hold -> hold.from() <= key && key <= hold.to());
    }

    /** Returns the number of requests that it has begun and not answered. */
    int running() {
        return slots - free.availablePermits();
    }

    synchronized int heldRows() {
        return System.nanoTime() < holdsEndNanos ? holds.size() : 0;
    }

    synchronized List<Hold> held() {
        return System.nanoTime() < holdsEndNanos ? holds : List.of();
    }

    private Http.Answer handle(Http.Message request) throws Exception {
        String attempt = request.headers.get("Attempt-Id");
        if (request.path().equals("/health")) {
            return new Http.Answer(state.equals("ready") ? 200 : 503, Map.of("Instance-Id", id), new byte[0]);
        }
        if (attempt == null) {
            return notRun(400, "");
        }
        String expected = request.headers.get("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            return notRun(421, attempt);
        }
        String key = request.headers.get("Shard-Key");
        if (sharded && (key == null || !holdsKey(Integer.parseInt(key)))) {
            return notRun(421, attempt);
        }
        long deadline = Long.parseLong(request.headers.getOrDefault("Deadline-Ms", "1000"));
        if (!free.tryAcquire(deadline, TimeUnit.MILLISECONDS)) {
            return notRun(503, attempt);
        }
        try {
            Main.record("run worker=%s attempt=%s target=%s key=%s caller=%s bytes=%d", id, attempt,
                    request.target(), key, request.headers.get("Caller-Service"), request.body.length);
            Main.onRun(this, attempt, key == null ? -1 : Integer.parseInt(key));
            Http.Handler handler = special;
            if (handler != null) {
                Http.Answer answer = handler.handle(request);
                if (answer != null || ended) {
                    return answer;
                }
            }
            Thread.sleep(workMillis(request));
            return new Http.Answer(
                    200,
                    new TreeMap<>(Map.of("Attempt-Id", attempt, "Response-Stamp", stamp(), "Content-Type", "text/plain")),
                    ("done by " + id).getBytes(StandardCharsets.UTF_8));
        } finally {
            free.release();
        }
    }

    private static long workMillis(Http.Message request) {
        return Long.parseLong(request.query().getOrDefault("work", "30"));
    }

    private synchronized String stamp() {
        return id + "." + stamps++;
    }

    private static Http.Answer notRun(int status, String attempt) {
        return new Http.Answer(status, Map.of("Attempt-Id", attempt, "Not-Executed", "1"), new byte[0]);
    }
}
