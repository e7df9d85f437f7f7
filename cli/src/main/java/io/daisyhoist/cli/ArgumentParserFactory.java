package io.daisyhoist.cli;

import java.util.Map;

import io.daisyhoist.cli.command.CheckCommand;
import io.daisyhoist.cli.command.Command;
import io.daisyhoist.cli.command.DrainCommand;
import io.daisyhoist.cli.command.HistoryCommand;
import io.daisyhoist.cli.command.OwnerCommand;
import io.daisyhoist.cli.command.PushCommand;
import io.daisyhoist.cli.command.ShowCommand;
import io.daisyhoist.cli.command.StatusCommand;
import io.daisyhoist.cli.command.ZoneCommand;
import io.daisyhoist.core.config.PushLimits;
import io.daisyhoist.core.config.ZoneState;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Argument;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Builds the command-line parser. Holds no state except the environment variables; not thread-safe. */
final class ArgumentParserFactory {
    private static final String EXIT_CODES = """
            exit codes:
              0 ok                     4 conflict
              1 internal error         5 platform or daemon unreachable
              2 usage                  6 outcome unknown
              3 invalid configuration  7 not found""";

    private final Map<String, String> environment;

    ArgumentParserFactory(Map<String, String> environment) {
        this.environment = environment;
    }

    ArgumentParser build() {
        ArgumentParser parser = ArgumentParsers.newFor("daisyhoist")
                .addHelp(false)
                .defaultFormatWidth(100)
                .terminalWidthDetection(false)
                .build()
                .description("Changes and shows the configuration of Daisyhoist, and the state of its daemons.")
                .epilog(EXIT_CODES);
        addHelpOption(parser);
        Subparsers commands = parser.addSubparsers().metavar("COMMAND").title("commands");
        addConfigCommands(commands);
        addZoneCommands(commands);
        Subparser owner = addCommand(commands, "owner", new OwnerCommand(), "show the owner of a key", """
                daisyhoist owner fault-archive dish-4711
                daisyhoist owner fault-archive dish-4711 --json --admin http://127.0.0.1:8081""");
        owner.addArgument("service").metavar("SERVICE").help("service of the key");
        owner.addArgument("key").metavar("KEY").help("the key");
        addAdminUrlOption(owner);
        Subparser status = addCommand(commands, "status", new StatusCommand(), "show a daemon and its group", """
                daisyhoist status
                daisyhoist status --grants --admin http://127.0.0.1:8081""");
        status.addArgument("--grants").action(Arguments.storeTrue()).help("list every partition with its owner");
        addAdminUrlOption(status);
        addAdminUrlOption(
                addCommand(commands, "drain", new DrainCommand(), "ask a daemon for a graceful shutdown", """
                daisyhoist drain --admin http://127.0.0.1:8081"""));
        return parser;
    }

    private void addConfigCommands(Subparsers commands) {
        Subparsers config = addCommandGroup(commands, "config", "check, push and show configuration files");
        Subparser check = addCommand(config, "check", new CheckCommand(), "validate files without pushing them", """
                daisyhoist config check examples/hvalsnes
                daisyhoist config check 40-my-rules.toml --merged""");
        check.addArgument("paths").nargs("+").metavar("PATH").help("folder of .toml files, or files");
        check.addArgument("--merged")
                .action(Arguments.storeTrue())
                .help("merge the files with those of the platform, as a push would");
        addPlatformUrlOption(check);
        Subparser push = addCommand(config, "push", new PushCommand(), "push changed files to the platform", """
                daisyhoist config push examples/hvalsnes --author anna
                daisyhoist config push 10-services.toml --author anna --base 10-services.toml=7
                daisyhoist config push --remove 95-trial.toml --base 95-trial.toml=9 --author anna""");
        push.addArgument("paths").nargs("*").metavar("PATH").help("folder of .toml files, or files");
        push.addArgument("--remove").action(Arguments.append()).metavar("NAME").help("remove this file");
        push.addArgument("--base")
                .action(Arguments.append())
                .metavar("NAME=REVISION")
                .help("revision on which your change is based,\nif not the one of your last push from this folder");
        addAuthorOption(push);
        addPushOptions(push);
        Subparser show = addCommand(config, "show", new ShowCommand(), "show the configuration in force", """
                daisyhoist config show
                daisyhoist config show --file 10-services.toml
                daisyhoist config show --save my-folder""");
        show.addArgument("--file").metavar("NAME").help("print the text of one file");
        show.addArgument("--save").metavar("DIR").help("save all files, as the base of later pushes from DIR");
        addPlatformUrlOption(show);
        addPlatformUrlOption(addCommand(config, "history", new HistoryCommand(), "list the latest changes", """
                daisyhoist config history"""));
    }

    private void addZoneCommands(Subparsers commands) {
        Subparsers zone = addCommandGroup(commands, "zone", "take an availability zone out and bring it back");
        for (ZoneState state : new ZoneState[] {ZoneState.OUT, ZoneState.IN}) {
            boolean out = state == ZoneState.OUT;
            String name = out ? "out" : "in";
            String help = out ? "send no new work to a zone" : "send work to a zone again";
            Subparser parser = addCommand(
                    zone, name, new ZoneCommand(state), help, "daisyhoist zone " + name + " heimaey --author anna");
            parser.addArgument("zone").metavar("NAME").help("availability zone");
            addAuthorOption(parser);
            addPushOptions(parser);
        }
    }

    private static Subparsers addCommandGroup(Subparsers parent, String name, String help) {
        Subparser parser = parent.addParser(name, false).help(help).description(help);
        addHelpOption(parser);
        return parser.addSubparsers().metavar("COMMAND").title("commands");
    }

    private static Subparser addCommand(Subparsers parent, String name, Command command, String help, String examples) {
        Subparser parser = parent.addParser(name, false)
                .help(help)
                .description(help)
                .epilog("examples:\n  " + examples.replace("\n", "\n  ") + "\n\n" + EXIT_CODES);
        parser.setDefault("command", command);
        addHelpOption(parser);
        parser.addArgument("--json").action(Arguments.storeTrue()).help("print one JSON object, also for failures");
        parser.addArgument("--timeout-ms")
                .type(Integer.class)
                .choices(Arguments.range(10, 60_000))
                .setDefault(2_000)
                .metavar("MS")
                .help("time to wait for one response (default: 2000)");
        return parser;
    }

    private static void addHelpOption(ArgumentParser parser) {
        parser.addArgument("-h", "--help").action(new HelpAction()).help("show this help");
    }

    private void addAuthorOption(Subparser parser) {
        Argument author = parser.addArgument("--author").metavar("NAME");
        author.help("your name in the history (default: DAISYHOIST_AUTHOR)");
        setDefaultFromEnvironment(author, "DAISYHOIST_AUTHOR");
    }

    private void addPushOptions(Subparser parser) {
        parser.addArgument("--max-unanswered")
                .type(Integer.class)
                .choices(Arguments.range(0, 1_000))
                .setDefault(PushLimits.DEFAULT.maxUnansweredCalls())
                .metavar("N")
                .help("calls to the platform that may go unanswered (default: "
                        + PushLimits.DEFAULT.maxUnansweredCalls() + ")");
        addPlatformUrlOption(parser);
    }

    private void addPlatformUrlOption(Subparser parser) {
        parser.addArgument("--platform")
                .metavar("URL[,URL]")
                .setDefault(environment.getOrDefault("DAISYHOIST_PLATFORM", "http://127.0.0.1:7000"))
                .help("the platform's store\n(default: DAISYHOIST_PLATFORM, or http://127.0.0.1:7000)");
    }

    private void addAdminUrlOption(Subparser parser) {
        parser.addArgument("--admin")
                .metavar("URL")
                .setDefault(environment.getOrDefault("DAISYHOIST_ADMIN", "http://127.0.0.1:8081"))
                .help("admin port of the daemon\n(default: DAISYHOIST_ADMIN, or http://127.0.0.1:8081)");
    }

    private void setDefaultFromEnvironment(Argument argument, String variable) {
        if (environment.containsKey(variable)) {
            argument.setDefault(environment.get(variable));
        } else {
            argument.required(true);
        }
    }
}
