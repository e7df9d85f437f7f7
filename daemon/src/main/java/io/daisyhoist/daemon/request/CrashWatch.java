package io.daisyhoist.daemon.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.daisyhoist.core.retry.BackendLoss;
import io.daisyhoist.core.retry.Fingerprint;
import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;

/**
 * Tells the loss of the backend server from the loss of one connection.
 *
 * <p>A connection that breaks after the write may be either, so the requests in flight are only suspects until a refused
 * connection or a new incarnation confirms that the backend server itself was lost. Confined to one thread.
 */
final class CrashWatch {
    /** A restarted backend server announces itself within a second; later signs belong to another event. */
    private static final Duration CONFIRMATION = Duration.ofSeconds(5);

    private final String backend;
    private final TimeSource time;
    private final Set<Fingerprint> suspects = new HashSet<>();
    private Optional<ElapsedTimer> lostAt = Optional.empty();
    private OptionalLong incarnation = OptionalLong.empty();

    CrashWatch(String backend, TimeSource time) {
        this.backend = backend;
        this.time = time;
    }

    /** Notes a connection that was lost with a written request, and all requests then in flight. */
    void onConnectionLost(Fingerprint lost, Set<Fingerprint> inFlight) {
        dropExpired();
        if (lostAt.isEmpty()) {
            lostAt = Optional.of(ElapsedTimer.start(time));
            suspects.addAll(inFlight);
        }
        suspects.add(lost);
    }

    /** Notes a complete response, which shows that its request did not crash the backend server. */
    void onAnswered(Fingerprint answered) {
        suspects.remove(answered);
    }

    /** Notes a refused connection; returns the loss that it confirms. */
    Optional<BackendLoss> onConnectionRefused() {
        return confirm();
    }

    /** Notes an announced incarnation; returns the loss that a new one confirms. */
    Optional<BackendLoss> onIncarnation(long announced) {
        boolean changed = incarnation.isPresent() && incarnation.getAsLong() != announced;
        Optional<BackendLoss> loss = changed ? confirm() : Optional.empty();
        incarnation = OptionalLong.of(announced);
        return loss;
    }

    /** Returns whether a request was in flight at a loss that is not confirmed yet; it must run alone meanwhile. */
    boolean isPendingSuspect(Fingerprint fingerprint) {
        dropExpired();
        return suspects.contains(fingerprint);
    }

    private Optional<BackendLoss> confirm() {
        dropExpired();
        if (suspects.isEmpty()) {
            return Optional.empty();
        }
        BackendLoss loss = new BackendLoss(backend, incarnation.orElse(0), suspects);
        clear();
        return Optional.of(loss);
    }

    private void dropExpired() {
        boolean expired = lostAt.map(timer -> timer.elapsed(time).compareTo(CONFIRMATION) > 0)
                .orElse(false);
        if (expired) {
            clear();
        }
    }

    private void clear() {
        suspects.clear();
        lostAt = Optional.empty();
    }
}
