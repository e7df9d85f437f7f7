import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** TCP link that can go silent: what its open connections carry is lost from then on, while new connections work. */
final class Link {
    private static final class Pair {
        final Socket from;
        final Socket to;
        volatile boolean silent;
        volatile long usedNanos = System.nanoTime();

        Pair(Socket from, Socket to) {
            this.from = from;
            this.to = to;
        }
    }

    private final ServerSocket server;
    private volatile boolean turningAway;
    private final InetSocketAddress target;
    private final Set<Pair> open = ConcurrentHashMap.newKeySet();

    Link(String ip, String targetIp, int targetPort) throws IOException {
        server = new ServerSocket(0, 512, InetAddress.getByName(ip));
        target = new InetSocketAddress(targetIp, targetPort);
        Threads.start("link", this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    private void accept() throws IOException {
        while (true) {
            Socket from = server.accept();
            if (turningAway) {
                from.close();
                continue;
            }
            Socket to = new Socket();
            try {
                to.connect(target, 1000);
            } catch (IOException e) {
                from.close();
                continue;
            }
            from.setTcpNoDelay(true);
            to.setTcpNoDelay(true);
            Pair pair = new Pair(from, to);
            open.add(pair);
            Threads.start("link-there", () -> copy(pair, from, to));
            Threads.start("link-back", () -> copy(pair, to, from));
        }
    }

    private void copy(Pair pair, Socket source, Socket sink) {
        byte[] buffer = new byte[65536];
        try {
            InputStream in = source.getInputStream();
            OutputStream out = sink.getOutputStream();
            for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
                if (!pair.silent) {
                    pair.usedNanos = System.nanoTime();
                    out.write(buffer, 0, length);
                    out.flush();
                }
            }
        } catch (IOException e) {
            // Either side has closed.
        }
        if (!pair.silent || source == pair.from) {
            open.remove(pair);
            close(pair.from);
            close(pair.to);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }

    /** Closes all connections, and new ones at once, or ends that. */
    void turnAway(boolean away) {
        turningAway = away;
        if (away) {
            open.forEach(pair -> {
                close(pair.from);
                close(pair.to);
            });
        }
    }

    /**
     * Makes all connections silent for good that are open now and have carried nothing for a while; returns their number.
     *
     * @param idleMillis how long they have carried nothing
     */
    int silence(long idleMillis) {
        int count = 0;
        for (Pair pair : open) {
            if (System.nanoTime() - pair.usedNanos < idleMillis * 1_000_000) {
                continue;
            }
            pair.silent = true;
            count++;
        }
        return count;
    }
}
