package io.daisyhoist.core.retry;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;

/**
 * Distinguishes the loss of the backend server from the loss of a single connection.
 *
 * <p>A connection lost after the write may be caused by either, so the requests in flight are only suspects until a
 * refused connection or a new incarnation confirms that the backend server itself was lost. Confined to one thread.
 */
public final class CrashDetector {
    private final String backend;
    private final TimeSource time;
    private final Duration confirmationWindow;
    private final Set<Fingerprint> suspects = new HashSet<>();
    private Optional<ElapsedTimer> lossTimer = Optional.empty();
    private OptionalLong incarnation = OptionalLong.empty();

    /**
     * Creates a detector for a backend server of which nothing is known.
     *
     * @param backend name of the daemon of the backend server
     * @param confirmationWindow time in which a lost backend server restarts; later evidence is attributed to another event
     */
    public CrashDetector(String backend, TimeSource time, Duration confirmationWindow) {
        this.backend = backend;
        this.time = time;
        this.confirmationWindow = confirmationWindow;
    }

    /** Records the loss of a connection with a written request, and all requests in flight at that time. */
    public void onConnectionLost(Fingerprint lost, Set<Fingerprint> inFlight) {
        expireSuspects();
        if (lossTimer.isEmpty()) {
            lossTimer = Optional.of(ElapsedTimer.start(time));
            suspects.addAll(inFlight);
        }
        suspects.add(lost);
    }

    /** Records a complete response, which proves that its request did not crash the backend server. */
    public void onResponse(Fingerprint fingerprint) {
        suspects.remove(fingerprint);
    }

    /** Records a refused connection; returns the loss that it confirms, if any. */
    public Optional<BackendLoss> onConnectionRefused() {
        return confirmLoss();
    }

    /** Records an announced incarnation; returns the loss that a new incarnation confirms, if any. */
    public Optional<BackendLoss> onIncarnation(long announced) {
        boolean restarted = incarnation.isPresent() && incarnation.getAsLong() != announced;
        Optional<BackendLoss> loss = restarted ? confirmLoss() : Optional.empty();
        incarnation = OptionalLong.of(announced);
        return loss;
    }

    /** Returns whether a request was in flight at an unconfirmed loss; such a request must run exclusively. */
    public boolean isPendingSuspect(Fingerprint fingerprint) {
        expireSuspects();
        return suspects.contains(fingerprint);
    }

    /** Returns whether requests were in flight at an unconfirmed loss. */
    public boolean hasSuspects() {
        expireSuspects();
        return !suspects.isEmpty();
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
                .map(timer -> timer.elapsed(time).compareTo(confirmationWindow) > 0)
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
