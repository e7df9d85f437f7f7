import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's key-value store, with one port for each daemon, so that single daemons can be turned away. */
final class Store {
    enum Mode {
        SOUND,
        /** Answers 503: nothing was done. */
        BUSY
    }

    private record Item(String key, String value, long revision, long created, long lease) {
        Map<String, Object> json() {
            return Json.map("key", key, "value", value, "revision", revision, "created", created, "lease", lease);
        }
    }

    private record Event(String key, long revision, Item item) {}

    private static final class Lease {
        private final long ttl;
        private long endsAt;

        private Lease(long ttl) {
            this.ttl = ttl;
            renew();
        }

        private void renew() {
            endsAt = System.currentTimeMillis() + ttl;
        }
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Map<Integer, Mode> modes = new HashMap<>();
    private final List<Http.Server> servers = new ArrayList<>();
    private long revision = 100;
    private long nextLease = 1_000;

    Store() {
        Main.thread("leases", () -> {
            while (true) {
                Thread.sleep(20);
                endLeases();
            }
        });
    }

    int listen(String host) throws IOException {
        int port = Main.freePort(host);
        modes.put(port, Mode.SOUND);
        servers.add(new Http.Server(host, port, request -> handle(port, request)));
        return port;
    }

    synchronized void setMode(int port, Mode mode) {
        modes.put(port, mode);
        notifyAll();
    }

    private synchronized void endLeases() {
        long now = System.currentTimeMillis();
        new ArrayList<>(leases.entrySet()).stream()
                .filter(lease -> lease.getValue().endsAt <= now)
                .forEach(lease -> endLease(lease.getKey()));
    }

    private void endLease(long id) {
        leases.remove(id);
        items.values().stream()
                .filter(item -> item.lease() == id)
                .map(Item::key)
                .toList()
                .forEach(this::delete);
    }

    /** Takes the keys away that lie under leases whose keys start with a prefix. */
    synchronized void revoke(String key) {
        Item item = items.get(key);
        if (item != null && item.lease() != 0) {
            endLease(item.lease());
        }
    }

    private void delete(String key) {
        if (items.remove(key) != null) {
            revision++;
            events.add(new Event(key, revision, null));
            notifyAll();
        }
    }

    private void put(String key, String value, long lease, long atRevision) {
        Item old = items.get(key);
        Item item = new Item(key, value, atRevision, old == null ? atRevision : old.created(), lease);
        items.put(key, item);
        events.add(new Event(key, atRevision, item));
        notifyAll();
    }

    /** A write of the operator. */
    synchronized void write(String key, String text) {
        revision++;
        put(key, base64(text), 0, revision);
    }

    synchronized String value(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(java.util.Base64.getDecoder().decode(item.value()));
    }

    private static String base64(String text) {
        return java.util.Base64.getEncoder().encodeToString(text.getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }

    private Http.Answer handle(int port, Http.Message request) throws Exception {
        Thread.sleep(4);
        synchronized (this) {
            if (modes.get(port) == Mode.BUSY) {
                return Http.Answer.empty(503);
            }
            Map<String, String> query = request.query();
            String path = request.path();
            if (path.equals("/kv-key")) {
                Item item = items.get(query.get("key"));
                if (item == null) {
                    return Http.Answer.json(404, Json.map("as-of", revision));
                }
                Map<String, Object> json = item.json();
                json.put("as-of", revision);
                return Http.Answer.json(200, json);
            }
            if (path.equals("/kv-range")) {
                return range(query.get("prefix"), query.getOrDefault("after", ""));
            }
            if (path.equals("/kv-watch")) {
                return watch(port, query.get("prefix"), Long.parseLong(query.get("after")),
                        Long.parseLong(query.get("wait-ms")));
            }
            if (path.equals("/kv-lease")) {
                long ttl = (Long) Json.object(request.text()).get("ttl-ms");
                long id = nextLease++;
                leases.put(id, new Lease(ttl));
                return Http.Answer.json(200, Json.map("lease", id, "ttl-ms", ttl));
            }
            if (path.startsWith("/kv-keep/")) {
                Lease lease = leases.get(Long.parseLong(path.substring(9)));
                if (lease == null) {
                    return Http.Answer.json(404, Json.map());
                }
                lease.renew();
                return Http.Answer.json(200, Json.map("ttl-ms", lease.ttl));
            }
            if (path.startsWith("/kv-lease-end/")) {
                endLease(Long.parseLong(path.substring(14)));
                return Http.Answer.json(200, Json.map());
            }
            if (path.equals("/kv-txn")) {
                return transaction(Json.object(request.text()));
            }
            return Http.Answer.json(404, Json.map());
        }
    }

    private Http.Answer range(String prefix, String after) {
        List<Object> page = new ArrayList<>();
        boolean more = false;
        for (Item item : items.tailMap(prefix).values()) {
            if (!item.key().startsWith(prefix)) {
                break;
            }
            if (item.key().compareTo(after) <= 0) {
                continue;
            }
            if (page.size() == 500) {
                more = true;
                break;
            }
            page.add(item.json());
        }
        return Http.Answer.json(200, Json.map("items", page, "has-more", more, "as-of", revision));
    }

    private Http.Answer watch(int port, String prefix, long after, long waitMillis) throws InterruptedException {
        long until = System.currentTimeMillis() + waitMillis;
        while (true) {
            List<Object> found = events.stream()
                    .filter(event -> event.revision() > after && event.key().startsWith(prefix))
                    .sorted(Comparator.comparingLong(Event::revision))
                    .<Object>map(event -> event.item() == null
                            ? Json.map("key", event.key(), "revision", event.revision(), "deleted", true)
                            : event.item().json())
                    .toList();
            long left = until - System.currentTimeMillis();
            if (modes.get(port) == Mode.BUSY) {
                return Http.Answer.empty(503);
            }
            if (!found.isEmpty() || left <= 0) {
                return Http.Answer.json(200, Json.map("events", found, "as-of", revision));
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private Http.Answer transaction(Map<String, Object> request) {
        List<Map<String, Object>> conditions = (List<Map<String, Object>>) request.get("expect-rev");
        List<Map<String, Object>> writes = (List<Map<String, Object>>) request.get("writes");
        List<String> deletes = (List<String>) request.get("deletes");
        if (conditions.size() + writes.size() + deletes.size() > 32) {
            return Http.Answer.json(400, Json.map());
        }
        boolean holds = conditions.stream().allMatch(condition -> {
            Item item = items.get((String) condition.get("key"));
            return (item == null ? 0 : item.revision()) == (Long) condition.get("revision");
        });
        if (!holds) {
            List<Object> present = new ArrayList<>();
            conditions.forEach(condition -> {
                Item item = items.get((String) condition.get("key"));
                if (item != null) {
                    present.add(item.json());
                }
            });
            return Http.Answer.json(412, Json.map("items", present));
        }
        for (Map<String, Object> write : writes) {
            String key = (String) write.get("key");
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return Http.Answer.json(403, Json.map());
            }
            long lease = (Long) write.getOrDefault("lease", 0L);
            if (lease != 0 && !leases.containsKey(lease)) {
                return Http.Answer.json(404, Json.map());
            }
        }
        revision++;
        long at = revision;
        writes.forEach(write -> put(
                (String) write.get("key"),
                (String) write.get("value"),
                (Long) write.getOrDefault("lease", 0L),
                at));
        deletes.forEach(this::delete);
        return Http.Answer.json(200, Json.map("revision", at));
    }
}
