package io.daisyhoist.testkit.launch;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds free loopback ports below the kernel's ephemeral port range, so that no outgoing connection occupies one
 * between the search and its use. Stateless.
 */
public final class FreePorts {
    private static final int MIN_PORT = 20_000;
    private static final int PORT_LIMIT = 32_000;
    private static final int MAX_ATTEMPTS = 2_000;

    private FreePorts() {}

    /** Returns distinct ports that were free when checked. */
    public static List<Integer> find(int count) {
        List<Integer> found = new ArrayList<>();
        for (int i = 0; i < MAX_ATTEMPTS && found.size() < count; i++) {
            int port = ThreadLocalRandom.current().nextInt(MIN_PORT, PORT_LIMIT);
            if (!found.contains(port) && isFree(port)) {
                found.add(port);
            }
        }
        if (found.size() < count) {
            throw new IllegalStateException("too few free ports between " + MIN_PORT + " and " + PORT_LIMIT);
        }
        return found;
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
