package io.daisyhoist.cli.command;

import io.daisyhoist.cli.output.CommandResult;
import net.sourceforge.argparse4j.inf.Namespace;

/** One command of the tool. Implementations are stateless. */
@FunctionalInterface
public interface Command {
    /**
     * Carries out the command.
     *
     * @throws io.daisyhoist.core.error.DaisyhoistException whose code gives the exit code of the tool
     */
    CommandResult run(Namespace options, CommandContext context);
}
