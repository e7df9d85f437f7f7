package io.daisyhoist.cli.command;

import java.util.Optional;

import io.daisyhoist.cli.client.PlatformClient;
import io.daisyhoist.core.config.ConfigPush;
import io.daisyhoist.core.config.PushLimits;
import io.daisyhoist.core.config.PushOutcome;
import io.daisyhoist.core.config.PushRequest;
import io.daisyhoist.core.config.PushStep;
import io.daisyhoist.core.config.StoredDocument;
import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;

/** Executes the steps of one push against the platform. Not thread-safe. */
final class PushRunner {
    private final PlatformClient platform;
    private final ConfigPush push;
    private boolean writeSent;

    PushRunner(CommandContext context, PushRequest request) {
        PushLimits defaults = PushLimits.DEFAULT;
        PushLimits limits = new PushLimits(
                context.maxUnansweredCalls(),
                defaults.maxWriteConflicts(),
                defaults.minBackoff(),
                defaults.maxBackoff());
        this.platform = context.platform();
        this.push = new ConfigPush(request, limits, context.random());
    }

    PushOutcome run() {
        PushStep step = push.start();
        while (true) {
            if (step instanceof PushStep.Done done) {
                return done.outcome();
            }
            step = execute(step);
        }
    }

    private PushStep execute(PushStep step) {
        if (step instanceof PushStep.Write write) {
            writeSent = true;
            return push.onWrite(platform.write(write.expectedRevision(), write.document()));
        }
        CommandContext.sleep(((PushStep.Read) step).delay());
        return read();
    }

    private PushStep read() {
        Optional<StoredDocument> stored;
        try {
            stored = platform.read();
        } catch (DaisyhoistException e) {
            // After a write, only the state machine can decide whether the push may have taken effect.
            if (e.code() != ErrorCode.PLATFORM_UNREACHABLE && !writeSent) {
                throw e;
            }
            return push.onReadFailed();
        }
        return push.onRead(stored);
    }
}
