package io.daisyhoist.cli.command;

import io.daisyhoist.cli.output.CommandResult;
import io.daisyhoist.cli.output.Json;
import net.sourceforge.argparse4j.inf.Namespace;

/** Requests a graceful shutdown of a daemon. */
public final class DrainCommand implements Command {
    @Override
    public CommandResult run(Namespace options, CommandContext context) {
        context.admin().drain();
        return CommandResult.ok(
                Json.resultObject("accepted"),
                "The daemon hands over its partitions, finishes its requests in flight and exits.\n");
    }
}
