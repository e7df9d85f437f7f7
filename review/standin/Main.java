import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicLong;

/** Runs a case: {@code Main CASE FOLDER}. Exit code 1: the rule was broken; 0: it held; 2: the case could not run. */
public final class Main {
    static final Random random = new Random();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final long START = System.nanoTime();
    private static final AtomicLong ATTEMPTS = new AtomicLong(System.nanoTime());
    static String folder;
    private static PrintWriter out;
    static volatile HoldListener holdListener = (worker, holds) -> {};
    static volatile RunListener runListener = (worker, attempt, key) -> {};

    interface HoldListener {
        void onHolds(Worker worker, List<Worker.Hold> holds);
    }

    interface RunListener {
        void onRun(Worker worker, String attempt, int key);
    }

    interface Task {
        void run() throws Exception;
    }

    static final class CannotRun extends Exception {
        CannotRun(String reason) {
            super(reason);
        }
    }

    private Main() {}

    public static void main(String[] args) throws Exception {
        folder = args[1];
        out = new PrintWriter(Files.newBufferedWriter(Path.of(args[1], "record.txt")), true);
        record("case=%s trouble=%s", args[0], TROUBLE);
        int code;
        try {
            boolean broken = Cases.run(args[0]);
            code = broken ? 1 : 0;
        } catch (Throwable e) {
            record("cannot run: %s", e);
            e.printStackTrace();
            code = 2;
        }
        record("result=%s", code == 1 ? "rule broken" : code == 0 ? "rule held" : "could not run");
        System.out.println("result: " + (code == 1 ? "rule broken" : code == 0 ? "rule held" : "could not run"));
        System.exit(code);
    }

    static synchronized void record(String format, Object... values) {
        out.println(String.format(Locale.ROOT, "%9.3f ", seconds()) + String.format(Locale.ROOT, format, values));
    }

    static double seconds() {
        return (System.nanoTime() - START) / 1e9;
    }

    static void onHolds(Worker worker, List<Worker.Hold> holds) {
        holdListener.onHolds(worker, holds);
    }

    static void onRun(Worker worker, String attempt, int key) {
        runListener.onRun(worker, attempt, key);
    }

    static Thread thread(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (Exception e) {
                        // The thread ends with what it served.
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static <T> T orNull(Callable<T> call) {
        try {
            return call.call();
        } catch (Exception e) {
            return null;
        }
    }

    static synchronized int freePort(String host) {
        while (true) {
            int port = 20_000 + random.nextInt(10_000);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName("0.0.0.0"))) {
                return port;
            } catch (IOException e) {
                // In use.
            }
        }
    }

    static String attemptId() {
        return String.format("%016x", ATTEMPTS.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }

    /** Sends one client attempt on a connection of its own; null if the connection ended without an answer. */
    static Http.Message send(Cluster.Machine at, int port, String method, String target, String key, byte[] body, int deadline) {
        String attempt = attemptId();
        record("sent machine=%s attempt=%s target=%s key=%s bytes=%d", at.name, attempt, target, key, body.length);
        try (Http.Connection connection = new Http.Connection(at.host, port, 1_000)) {
            Http.Message answer =
                    connection.send(method, target, headers(attempt, key, deadline), body, deadline + 500);
            record("answered attempt=%s status=%d retry_after=%s", attempt, answer.status(),
                    answer.headers.get("Retry-After"));
            return answer;
        } catch (IOException e) {
            record("answered attempt=%s status=none reason=%s", attempt, e.getMessage());
            return null;
        }
    }

    static Map<String, String> headers(String attempt, String key, int deadline) {
        Map<String, String> headers = new java.util.LinkedHashMap<>();
        headers.put("Host", "shop.example");
        headers.put("Attempt-Id", attempt);
        headers.put("Deadline-Ms", String.valueOf(deadline));
        if (key != null) {
            headers.put("Shard-Key", key);
        }
        return headers;
    }
}
