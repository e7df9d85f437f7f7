package io.daisyhoist.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.daisyhoist.core.membership.SwapResult;

/** Compare-and-swap store that randomly loses requests and responses, delays writes and is temporarily down. */
final class LossyConfigStore {
    private final RandomGenerator random;
    private final List<PushStep.Write> delayedWrites = new ArrayList<>();
    private final List<ConfigDocument> history = new ArrayList<>(List.of(ConfigDocument.EMPTY));
    private int remainingDownCalls;

    LossyConfigStore(RandomGenerator random) {
        this.random = random;
    }

    /** Returns all documents that have been in force, oldest first. */
    List<ConfigDocument> history() {
        return history;
    }

    ConfigDocument current() {
        return history.get(history.size() - 1);
    }

    /**
     * Reads the document; the outer value is empty when there is no response, the inner one when there is no document.
     */
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
                delayedWrites.add(write);
                yield SwapResult.UNKNOWN;
            }
            default -> apply(write) ? SwapResult.APPLIED : SwapResult.CONFLICT;
        };
    }

    boolean hasDelayedWrites() {
        return !delayedWrites.isEmpty();
    }

    void deliverDelayedWrite() {
        apply(delayedWrites.remove(random.nextInt(delayedWrites.size())));
    }

    private boolean isDown() {
        if (remainingDownCalls == 0 && random.nextInt(60) == 0) {
            remainingDownCalls = 1 + random.nextInt(30);
        }
        remainingDownCalls = Math.max(0, remainingDownCalls - 1);
        return remainingDownCalls > 0;
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
