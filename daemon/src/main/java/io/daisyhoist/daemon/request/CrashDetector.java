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
 * Distinguishes the loss of the backend server from the loss of a single connection.
 *
 * <p>A connection lost after the write may be caused by either, so the requests in flight are only suspects until a
 * refused connection or a new incarnation confirms that the backend server itself was lost. Confined to one thread.
 */
final class CrashDetector {
    /** A restarted backend server announces itself within a second; later evidence is attributed to another event. */
    private static final Duration CONFIRMATION_WINDOW = Duration.ofSeconds(5);

    private final String backend;
    private final TimeSource time;
    private final Set<Fingerprint> suspects = new HashSet<>();
    private Optional<ElapsedTimer> lossTimer = Optional.empty();
    private OptionalLong incarnation = OptionalLong.empty();

    CrashDetector(String backend, TimeSource time) {
        this.backend = backend;
        this.time = time;
    }

    /** Records the loss of a connection with a written request, and all requests in flight at that time. */
    void onConnectionLost(Fingerprint lost, Set<Fingerprint> inFlight) {
        expireSuspects();
        if (lossTimer.isEmpty()) {
            lossTimer = Optional.of(ElapsedTimer.start(time));
            suspects.addAll(inFlight);
        }
        suspects.add(lost);
    }

    /** Records a complete response, which proves that its request did not crash the backend server. */
    void onResponse(Fingerprint fingerprint) {
        suspects.remove(fingerprint);
    }

    /** Records a refused connection; returns the loss that it confirms, if any. */
    Optional<BackendLoss> onConnectionRefused() {
        return confirmLoss();
    }

    /** Records an announced incarnation; returns the loss that a new incarnation confirms, if any. */
    Optional<BackendLoss> onIncarnation(long announced) {
        boolean restarted = incarnation.isPresent() && incarnation.getAsLong() != announced;
        Optional<BackendLoss> loss = restarted ? confirmLoss() : Optional.empty();
        incarnation = OptionalLong.of(announced);
        return loss;
    }

    /** Returns whether a request was in flight at an unconfirmed loss; such a request must run exclusively. */
    boolean isPendingSuspect(Fingerprint fingerprint) {
        expireSuspects();
        return suspects.contains(fingerprint);
    }

    private Optional<BackendLoss> confirmLoss() {
        expireSuspects();
        if (suspects.isEmpty()) {
            return Optional.empty();
        }
        BackendLoss loss = new BackendLoss(backend, incarnation.orElse(0), suspects);
        reset();
        return Optional.of(loss);
    }

    private void expireSuspects() {
        boolean expired = lossTimer
                .map(timer -> timer.elapsed(time).compareTo(CONFIRMATION_WINDOW) > 0)
                .orElse(false);
        if (expired) {
            reset();
        }
    }

    private void reset() {
        suspects.clear();
        lossTimer = Optional.empty();
    }
}
