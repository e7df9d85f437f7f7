import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store, as PROTOCOL.md describes it: sound, linearizable, 4 ms an answer. */
final class Store {
    static final ObjectMapper MAPPER = new ObjectMapper();

    private record Item(String key, String value, long revision, long created, long lease) {}

    private record Event(long revision, String key, Item item) {}

    private static final class Lease {
        long ttlMs;
        long endsNanos;
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 100;
    private long nextLease = 1000;
    private volatile int era = 1;
    private volatile boolean away;
    private final ServerSocket server;
    private final Log log;

    Store(String ip, Log log) throws IOException {
        this.log = log;
        server = new ServerSocket(0, 512, InetAddress.getByName(ip));
        Threads.start("store", this::accept);
        Threads.start("leases", this::expire);
    }

    int port() {
        return server.getLocalPort();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            Threads.start("store-connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Wire call = Wire.readHead(in); call != null; call = Wire.readHead(in)) {
                if (away) {
                    return;
                }
                call.readBody(in, false);
                String[] parts = call.start.split(" ");
                Answer answer = answer(parts[0], parts[1], call.body);
                Thread.sleep(4);
                byte[] body = answer.body().toString().getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 " + answer.status() + " X\r\nContent-Type: application/json\r\nStore-Era: " + era
                        + "\r\nContent-Length: "
                        + body.length + "\r\n\r\n";
                byte[] bytes = new byte[head.length() + body.length];
                System.arraycopy(head.getBytes(StandardCharsets.US_ASCII), 0, bytes, 0, head.length());
                System.arraycopy(body, 0, bytes, head.length(), body.length);
                out.write(bytes);
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // The caller has closed the connection.
        }
    }

    private record Answer(int status, ObjectNode body) {}

    private Answer answer(String method, String uri, byte[] body) throws IOException, InterruptedException {
        int mark = uri.indexOf('?');
        String path = mark < 0 ? uri : uri.substring(0, mark);
        Map<String, String> query = new HashMap<>();
        if (mark >= 0) {
            for (String pair : uri.substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        if (path.equals("/kv-key")) {
            return key(query.get("key"));
        }
        if (path.equals("/kv-range")) {
            return range(query.get("prefix"), query.getOrDefault("after", ""));
        }
        if (path.equals("/kv-watch")) {
            return watch(query.get("prefix"), Long.parseLong(query.get("after")), Long.parseLong(query.get("wait-ms")));
        }
        if (path.equals("/kv-txn")) {
            return txn(MAPPER.readTree(body));
        }
        if (path.equals("/kv-lease")) {
            return lease(MAPPER.readTree(body).path("ttl-ms").asLong());
        }
        if (path.startsWith("/kv-keep/")) {
            return keep(Long.parseLong(path.substring("/kv-keep/".length())));
        }
        if (path.startsWith("/kv-lease-end/")) {
            return end(Long.parseLong(path.substring("/kv-lease-end/".length())));
        }
        return new Answer(404, MAPPER.createObjectNode());
    }

    private static ObjectNode json(Item item) {
        return MAPPER.createObjectNode()
                .put("key", item.key())
                .put("value", item.value())
                .put("revision", item.revision())
                .put("created", item.created())
                .put("lease", item.lease());
    }

    private synchronized Answer key(String key) {
        Item item = items.get(key);
        ObjectNode body = item == null ? MAPPER.createObjectNode() : json(item);
        return new Answer(item == null ? 404 : 200, body.put("as-of", revision));
    }

    private synchronized Answer range(String prefix, String after) {
        ObjectNode body = MAPPER.createObjectNode();
        ArrayNode rows = body.putArray("items");
        items.tailMap(prefix).values().stream()
                .filter(item -> item.key().startsWith(prefix) && item.key().compareTo(after) > 0)
                .forEach(item -> rows.add(json(item)));
        return new Answer(200, body.put("has-more", false).put("as-of", revision));
    }

    private synchronized Answer watch(String prefix, long after, long waitMs) throws InterruptedException {
        int begunEra = era;
        long end = System.nanoTime() + waitMs * 1_000_000;
        if (after > revision) {
            return new Answer(410, MAPPER.createObjectNode());
        }
        while (true) {
            if (era != begunEra) {
                throw new InterruptedException();
            }
            ObjectNode body = MAPPER.createObjectNode();
            ArrayNode rows = body.putArray("events");
            for (Event event : events) {
                if (event.revision() > after && event.key().startsWith(prefix)) {
                    if (event.item() == null) {
                        rows.addObject().put("key", event.key()).put("revision", event.revision()).put("deleted", true);
                    } else {
                        rows.add(json(event.item()));
                    }
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!rows.isEmpty() || left <= 0) {
                return new Answer(200, body.put("as-of", revision));
            }
            wait(left);
        }
    }

    private synchronized Answer txn(JsonNode call) {
        boolean holds = true;
        ObjectNode conflict = MAPPER.createObjectNode();
        ArrayNode rows = conflict.putArray("items");
        for (JsonNode row : call.path("expect-rev")) {
            Item item = items.get(row.path("key").asText());
            holds &= row.path("revision").asLong() == (item == null ? 0 : item.revision());
            if (item != null) {
                rows.add(json(item));
            }
        }
        if (!holds) {
            return new Answer(412, conflict);
        }
        for (JsonNode row : call.path("writes")) {
            String key = row.path("key").asText();
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return new Answer(403, MAPPER.createObjectNode());
            }
            if (row.path("lease").asLong() != 0 && !leases.containsKey(row.path("lease").asLong())) {
                return new Answer(404, MAPPER.createObjectNode());
            }
        }
        revision++;
        for (JsonNode row : call.path("writes")) {
            write(row.path("key").asText(), row.path("value").asText(), row.path("lease").asLong());
        }
        for (JsonNode row : call.path("deletes")) {
            delete(row.asText());
        }
        notifyAll();
        return new Answer(200, MAPPER.createObjectNode().put("revision", revision));
    }

    private void write(String key, String value, long lease) {
        Item old = items.get(key);
        Item item = new Item(key, value, revision, old == null ? revision : old.created(), lease);
        items.put(key, item);
        events.add(new Event(revision, key, item));
    }

    private void delete(String key) {
        if (items.remove(key) != null) {
            events.add(new Event(revision, key, null));
        }
    }

    private synchronized Answer lease(long ttlMs) {
        Lease lease = new Lease();
        lease.ttlMs = Math.max(1000, ttlMs);
        lease.endsNanos = System.nanoTime() + lease.ttlMs * 1_000_000;
        long id = nextLease++;
        leases.put(id, lease);
        return new Answer(200, MAPPER.createObjectNode().put("lease", id).put("ttl-ms", lease.ttlMs));
    }

    private synchronized Answer keep(long id) {
        Lease lease = leases.get(id);
        if (lease == null) {
            return new Answer(404, MAPPER.createObjectNode());
        }
        lease.endsNanos = System.nanoTime() + lease.ttlMs * 1_000_000;
        return new Answer(200, MAPPER.createObjectNode().put("ttl-ms", lease.ttlMs));
    }

    private synchronized Answer end(long id) {
        boolean known = leases.remove(id) != null;
        removeKeysOf(id);
        return new Answer(known ? 200 : 404, MAPPER.createObjectNode());
    }

    private void removeKeysOf(long id) {
        List<String> keys = items.values().stream().filter(item -> item.lease() == id).map(Item::key).toList();
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(this::delete);
            keys.forEach(key -> log.line("store: lease " + id + " has ended, " + key + " is removed"));
            notifyAll();
        }
    }

    private void expire() throws InterruptedException {
        while (true) {
            Thread.sleep(20);
            synchronized (this) {
                List<Long> ended = leases.entrySet().stream()
                        .filter(entry -> entry.getValue().endsNanos - System.nanoTime() < 0)
                        .map(Map.Entry::getKey)
                        .toList();
                ended.forEach(id -> {
                    leases.remove(id);
                    removeKeysOf(id);
                });
            }
        }
    }

    /** Writes an item as the operator does; the return is the acknowledgement. */
    synchronized long operatorPut(String key, String value) {
        revision++;
        write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
        return revision;
    }

    /** A copy of the store, of which a later one can begin. */
    record Copy(TreeMap<String, Item> items, List<Event> events, Map<Long, Long> leases, long revision, long nextLease) {}

    synchronized Copy copy() {
        Map<Long, Long> ttls = new HashMap<>();
        leases.forEach((id, lease) -> ttls.put(id, lease.ttlMs));
        return new Copy(new TreeMap<>(items), new ArrayList<>(events), ttls, revision, nextLease);
    }

    void goAway() {
        away = true;
        synchronized (this) {
            notifyAll();
        }
    }

    /** Comes back from a copy; what the operator wrote is written again. */
    synchronized void comeBack(Copy copy) {
        TreeMap<String, Item> present = new TreeMap<>(items);
        items.clear();
        items.putAll(copy.items());
        events.clear();
        events.addAll(copy.events());
        leases.clear();
        copy.leases().forEach((id, ttl) -> {
            Lease lease = new Lease();
            lease.ttlMs = ttl;
            lease.endsNanos = System.nanoTime() + ttl * 1_000_000;
            leases.put(id, lease);
        });
        revision = copy.revision();
        nextLease = copy.nextLease();
        era++;
        away = false;
        present.values().stream().filter(item -> item.key().startsWith("op/")).forEach(item -> {
            Item old = items.get(item.key());
            if (old == null || !old.value().equals(item.value())) {
                revision++;
                write(item.key(), item.value(), 0);
            }
        });
        log.line("store: comes back at revision " + revision + " in era " + era);
        notifyAll();
    }

    /** Returns the text of an item, for the record. */
    synchronized String text(String key) {
        Item item = items.get(key);
        return item == null ? "" : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
    }

}
