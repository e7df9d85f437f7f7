package io.daisyhoist.cli;

import java.util.Map;

import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.Argument;
import net.sourceforge.argparse4j.inf.ArgumentAction;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;

/** Aborts parsing at {@code --help} without printing; the library's own action prints to System.out. */
final class HelpAction implements ArgumentAction {
    @Override
    @SuppressWarnings("deprecation") // Deprecated in favor of a default overload, but still abstract.
    public void run(ArgumentParser parser, Argument argument, Map<String, Object> attributes, String flag, Object value)
            throws ArgumentParserException {
        throw new HelpScreenException(parser);
    }

    @Override
    public void onAttach(Argument argument) {
        // No setup required.
    }

    @Override
    public boolean consumeArgument() {
        return false;
    }
}
