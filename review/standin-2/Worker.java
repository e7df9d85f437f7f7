import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound worker: heartbeats, keys that it holds, slots, and answers with the id of the request and a stamp. */
class Worker {
    record Run(double atSeconds, String id, String path, String caller, int key, double readSeconds) {}

    record Row(int from, int to, long fence, long endsNanos) {}

    final String id;
    final String service;
    final String zone;
    final Machine machine;
    final Log log;
    final int slots;
    final boolean sharded;
    final long born = System.currentTimeMillis();
    final List<Run> runs = new ArrayList<>();
    volatile boolean draining;
    volatile boolean silent;
    volatile boolean ended;
    private final Semaphore free;
    private final AtomicInteger waiting = new AtomicInteger();
    private final ServerSocket server;
    private final java.util.Set<Socket> open = java.util.concurrent.ConcurrentHashMap.newKeySet();
    private final List<Row> held = new ArrayList<>();
    private final int[] working = new int[65536];
    private final long[] seenFence = new long[65536];
    private final List<Object[]> released = new ArrayList<>();
    private long sequence;

    Worker(Machine machine, String id, int slots, boolean sharded, Log log) throws IOException {
        this.machine = machine;
        this.id = id;
        this.service = machine.service;
        this.zone = machine.zone;
        this.slots = slots;
        this.sharded = sharded;
        this.log = log;
        this.free = new Semaphore(slots, true);
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(machine.ip), machine.appPort), 512);
        Threads.start("worker", this::accept);
        Threads.start("beats", this::beats);
    }

    /** Returns a heartbeat of this moment, which is not sent yet. */
    synchronized byte[] lateBeat() {
        ObjectNode beat = Store.MAPPER.createObjectNode();
        beat.put("address", machine.ip + ":" + machine.appPort).put("born", born);
        beat.putObject("info").put("service", service).put("version", "v1").put("zone", zone).put("slots", slots);
        beat.putObject("status").put("state", "ready").put("seq", ++sequence).put("cold-remaining-ms", 0);
        return beat.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Delivers a call of this worker to its daemon; returns the status. */
    int deliver(String call, byte[] body) {
        return Client.call(machine.ip, machine.controlPort, "POST", "/rpc?call=instances." + call + "&of=" + id,
                "Host: control\r\nContent-Type: application/json\r\n", body, 1000).status;
    }

    /** Leaves without having reported draining: sends no further heartbeats, and goes on to serve; returns the status. */
    int leave() {
        silent = true;
        return deliver("leave", ("{\"born\":" + born + "}").getBytes(StandardCharsets.UTF_8));
    }

    /** Ends the worker as a crash does. */
    void end() throws IOException {
        ended = true;
        server.close();
        for (Socket socket : open) {
            socket.close();
        }
    }

    private void accept() throws IOException {
        while (!ended) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            Threads.start("worker-connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) {
        open.add(socket);
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Wire request = Wire.readHead(in); request != null && !ended; request = Wire.readHead(in)) {
                handle(request, socket, in, out);
            }
        } catch (Exception e) {
            if (System.getenv("TRACE") != null) {
                e.printStackTrace();
            }
        } finally {
            open.remove(socket);
        }
    }

    /** Reads the body of a request; a case may read it slowly. */
    void readBody(Wire request, Socket socket, InputStream in) throws Exception {
        request.readBody(in, false);
    }

    void handle(Wire request, Socket socket, InputStream in, OutputStream out) throws Exception {
        String requestId = request.field("Attempt-Id");
        String path = request.start.split(" ")[1];
        if (path.equals("/health")) {
            write(out, draining ? 503 : 200, "Instance-Id: " + id + "\r\n", new byte[0]);
            return;
        }
        double began = log.seconds();
        readBody(request, socket, in);
        if (requestId == null) {
            write(out, 400, "Not-Executed: 1\r\n", new byte[0]);
            return;
        }
        String echo = "Attempt-Id: " + requestId + "\r\n";
        String expected = request.field("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            write(out, 421, echo + "Instance-Id: " + id + "\r\n", new byte[0]);
            return;
        }
        int key = request.field("Shard-Key") == null ? -1 : Integer.parseInt(request.field("Shard-Key"));
        if (waiting.incrementAndGet() > 24) {
            waiting.decrementAndGet();
            write(out, 503, echo + "Not-Executed: 1\r\n", new byte[0]);
            return;
        }
        long deadline = request.field("Deadline-Ms") == null ? 10_000 : Long.parseLong(request.field("Deadline-Ms"));
        boolean slot = free.tryAcquire(deadline, TimeUnit.MILLISECONDS);
        waiting.decrementAndGet();
        if (!slot) {
            write(out, 503, echo + "Not-Executed: 1\r\n", new byte[0]);
            return;
        }
        try {
            if (sharded && !begin(key)) {
                write(out, 421, echo + "Not-Executed: 1\r\nInstance-Id: " + id + "\r\n", new byte[0]);
                return;
            }
            synchronized (runs) {
                runs.add(new Run(began, requestId, path, request.field("Caller-Service"), key, log.seconds()));
            }
            try {
                run(request, path);
            } finally {
                if (sharded) {
                    end(key);
                }
            }
            byte[] body = body(request, path);
            answer(request, echo + "Response-Stamp: " + id + "." + requestId + "\r\n", body, socket, out);
        } finally {
            free.release();
        }
    }

    void answer(Wire request, String fields, byte[] body, Socket socket, OutputStream out) throws Exception {
        write(out, 200, fields, body);
    }

    byte[] body(Wire request, String path) {
        return ("ran " + path + " at " + id).getBytes(StandardCharsets.US_ASCII);
    }

    /** Works as long as the request's path says in its query, 20 ms else. */
    void run(Wire request, String path) throws Exception {
        int mark = path.indexOf("ms=");
        Thread.sleep(mark < 0 ? 20 : Integer.parseInt(path.substring(mark + 3).split("&")[0]));
    }

    static void write(OutputStream out, int status, String fields, byte[] body) throws IOException {
        byte[] head = ("HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        out.write(all);
        out.flush();
    }

    synchronized void mark(byte[] owners, byte number, Owners report) {
        long now = System.nanoTime();
        if (ended) {
            return;
        }
        for (Row row : held) {
            if (row.endsNanos() - now > 0) {
                for (int key = row.from(); key <= row.to(); key++) {
                    if (owners[key] != 0 && owners[key] != number) {
                        report.both(key, owners[key], number);
                    }
                    owners[key] = number;
                }
            }
        }
    }

    interface Owners {
        void both(int key, byte one, byte other);
    }

    private synchronized boolean begin(int key) {
        boolean holds = held.stream()
                .anyMatch(row -> row.from() <= key && key <= row.to() && row.endsNanos() - System.nanoTime() > 0);
        if (holds) {
            working[key]++;
        }
        return holds;
    }

    private synchronized void end(int key) {
        working[key]--;
    }

    synchronized int heldKeys() {
        return held.stream()
                .filter(row -> row.endsNanos() - System.nanoTime() > 0)
                .mapToInt(row -> row.to() - row.from() + 1)
                .sum();
    }

    /** Returns the key in the middle of the widest held range. */
    synchronized int middleKey() {
        Row widest = held.stream().max(java.util.Comparator.comparingInt(row -> row.to() - row.from())).orElseThrow();
        return (widest.from() + widest.to()) / 2;
    }

    private void beats() throws InterruptedException {
        while (!ended) {
            long wait = 870;
            try {
                wait = silent || beat() ? 870 : 100;
            } catch (IOException e) {
                // It was not acknowledged; the next one follows.
            }
            Thread.sleep(wait);
        }
    }

    private synchronized List<Object[]> takeReleased() {
        return new ArrayList<>(released);
    }

    /** Sends a heartbeat; returns false if the next one is due at once, since keys were left out. */
    private boolean beat() throws IOException {
        ObjectNode beat = Store.MAPPER.createObjectNode();
        beat.put("address", machine.ip + ":" + machine.appPort).put("born", born);
        beat.putObject("info").put("service", service).put("version", "v1").put("zone", zone).put("slots", slots);
        beat.putObject("status")
                .put("state", draining ? "draining" : "ready")
                .put("seq", ++sequence)
                .put("cold-remaining-ms", 0);
        List<Object[]> reported = takeReleased();
        if (sharded) {
            ArrayNode rows = beat.putArray("holds");
            synchronized (this) {
                held.removeIf(row -> row.endsNanos() - System.nanoTime() <= 0);
                held.forEach(row -> rows.addArray().add(row.from()).add(row.to()).add(row.fence()));
            }
            ArrayNode releasedRows = beat.putArray("released");
            reported.forEach(row ->
                    releasedRows.addArray().add((int) row[0]).add((int) row[1]).add((String) row[2]));
        }
        long sentNanos = System.nanoTime();
        Wire reply;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(machine.ip, machine.controlPort), 1000);
            socket.setSoTimeout(1000);
            write(
                    socket.getOutputStream(),
                    "POST /rpc?call=instances.heartbeat&of=" + id + " HTTP/1.1\r\nHost: control\r\n",
                    beat.toString().getBytes(StandardCharsets.UTF_8));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            reply = Wire.readHead(in);
            if (reply == null) {
                throw new IOException("no reply");
            }
            reply.readBody(in, true);
        }
        boolean late = System.nanoTime() - sentNanos > 1_000_000_000L;
        if (reply.status() / 100 != 2 || late || reply.body.length > 4096) {
            return true;
        }
        synchronized (this) {
            released.removeAll(reported);
        }
        JsonNode answer = Store.MAPPER.readTree(reply.body);
        return !sharded || answer.path("holds").isMissingNode() || take(answer, sentNanos);
    }

    private static void write(OutputStream out, String head, byte[] body) throws IOException {
        out.write((head + "Content-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        out.write(body);
        out.flush();
    }

    /** Takes what it is to hold, and releases the rest; returns false if something was released. */
    private synchronized boolean take(JsonNode answer, long sentNanos) {
        long endsNanos = sentNanos + answer.path("hold-ms").asLong() * 1_000_000;
        List<Row> next = new ArrayList<>();
        boolean[] keeps = new boolean[65536];
        for (JsonNode row : answer.path("holds")) {
            int from = row.path(0).asInt();
            int to = row.path(1).asInt();
            long fence = row.path(2).asLong();
            boolean accepted = true;
            for (int key = from; key <= to; key++) {
                accepted &= seenFence[key] <= fence;
            }
            if (accepted) {
                for (int key = from; key <= to; key++) {
                    seenFence[key] = fence;
                    keeps[key] = true;
                }
                next.add(new Row(from, to, fence, endsNanos));
            }
        }
        boolean complete = true;
        for (Row row : held) {
            for (int from = row.from(); from <= row.to(); from++) {
                if (keeps[from]) {
                    continue;
                }
                int to = from;
                while (to < row.to() && !keeps[to + 1]) {
                    to++;
                }
                complete = false;
                boolean busy = false;
                for (int key = from; key <= to; key++) {
                    busy |= working[key] > 0;
                }
                if (busy) {
                    next.add(new Row(from, to, row.fence(), row.endsNanos()));
                } else {
                    released.add(new Object[] {from, to, String.format("%016x", ThreadLocalRandom.current().nextLong())});
                }
                from = to;
            }
        }
        held.clear();
        held.addAll(next);
        return complete;
    }
}
