package io.daisyhoist.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.daisyhoist.core.membership.SwapResult;

/** Compare-and-swap register that loses requests and responses, delays writes and is down at times; seeded. */
final class LossyRegister {
    private final RandomGenerator random;
    private final List<PushStep.Write> delayed = new ArrayList<>();
    private final List<ConfigDocument> history = new ArrayList<>(List.of(ConfigDocument.EMPTY));
    private int downCalls;

    LossyRegister(RandomGenerator random) {
        this.random = random;
    }

    /** Returns every document that was in force, oldest first. */
    List<ConfigDocument> history() {
        return history;
    }

    ConfigDocument current() {
        return history.get(history.size() - 1);
    }

    /** Reads the document; empty when there is no answer. */
    Optional<Optional<StoredDocument>> read() {
        return isDown() || random.nextInt(10) == 0 ? Optional.empty() : Optional.of(stored());
    }

    SwapResult write(PushStep.Write write) {
        if (isDown()) {
            return SwapResult.UNKNOWN;
        }
        return switch (random.nextInt(10)) {
            case 0 -> SwapResult.UNKNOWN;
            case 1, 2 -> {
                apply(write);
                yield SwapResult.UNKNOWN;
            }
            case 3, 4 -> {
                delayed.add(write);
                yield SwapResult.UNKNOWN;
            }
            default -> apply(write) ? SwapResult.APPLIED : SwapResult.CONFLICT;
        };
    }

    boolean hasDelayedWrites() {
        return !delayed.isEmpty();
    }

    void deliverDelayedWrite() {
        apply(delayed.remove(random.nextInt(delayed.size())));
    }

    private boolean isDown() {
        if (downCalls == 0 && random.nextInt(60) == 0) {
            downCalls = 1 + random.nextInt(30);
        }
        downCalls = Math.max(0, downCalls - 1);
        return downCalls > 0;
    }

    private Optional<StoredDocument> stored() {
        return history.size() == 1
                ? Optional.empty()
                : Optional.of(new StoredDocument("r" + history.size(), current()));
    }

    private boolean apply(PushStep.Write write) {
        if (!stored().map(StoredDocument::storeRevision).equals(write.expectedRevision())) {
            return false;
        }
        history.add(write.document());
        return true;
    }
}
