package io.daisyhoist.cli.command;

import io.daisyhoist.cli.output.CommandResult;
import net.sourceforge.argparse4j.inf.Namespace;

/** Command of the command-line tool. Implementations are stateless. */
@FunctionalInterface
public interface Command {
    /**
     * Executes the command.
     *
     * @throws io.daisyhoist.core.error.DaisyhoistException if the command fails; its error code determines the exit
     * code
     */
    CommandResult run(Namespace options, CommandContext context);
}
