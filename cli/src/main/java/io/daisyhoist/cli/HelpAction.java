package io.daisyhoist.cli;

import java.util.Map;

import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.Argument;
import net.sourceforge.argparse4j.inf.ArgumentAction;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;

/** Ends the parsing at {@code --help} without printing, unlike the library's own action, which prints to System.out. */
final class HelpAction implements ArgumentAction {
    @Override
    @SuppressWarnings("deprecation") // Abstract in the interface, although the library prefers its default sibling.
    public void run(ArgumentParser parser, Argument argument, Map<String, Object> attributes, String flag, Object value)
            throws ArgumentParserException {
        throw new HelpScreenException(parser);
    }

    @Override
    public void onAttach(Argument argument) {
        // Nothing to prepare.
    }

    @Override
    public boolean consumeArgument() {
        return false;
    }
}
