package io.daisyhoist.daemon.connection;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;

/**
 * Accepted connections whose sender has not said yet which daemon it is.
 *
 * <p>Invariant: there are a bounded number of them; a further one takes the place of the oldest, so that whoever connects
 * without a hello takes neither the descriptors of the process nor the place of a daemon. Thread-safe.
 */
final class UnidentifiedConnections {
    /** Longer than lost packets delay a hello. */
    private static final Duration HELLO_TIMEOUT = Duration.ofSeconds(5);

    private final int maxConnections;
    private final Set<Channel> channels = new LinkedHashSet<>();

    UnidentifiedConnections(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Adds a connection that was just accepted; it is closed unless its hello arrives in time. */
    void add(Channel channel) {
        oldestBeyondLimit(channel).ifPresent(Channel::close);
        channel.closeFuture().addListener(closed -> remove(channel));
        channel.eventLoop()
                .schedule(() -> closeIfUnidentified(channel), HELLO_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    private synchronized Optional<Channel> oldestBeyondLimit(Channel added) {
        channels.add(added);
        if (channels.size() <= maxConnections) {
            return Optional.empty();
        }
        Iterator<Channel> oldestFirst = channels.iterator();
        Channel oldest = oldestFirst.next();
        oldestFirst.remove();
        return Optional.of(oldest);
    }

    /** Removes a connection whose sender is known. */
    synchronized void remove(Channel channel) {
        channels.remove(channel);
    }

    private void closeIfUnidentified(Channel channel) {
        if (contains(channel)) {
            channel.close();
        }
    }

    private synchronized boolean contains(Channel channel) {
        return channels.contains(channel);
    }
}
