package io.daisyhoist.cli;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.daisyhoist.cli.client.AdminClient;
import io.daisyhoist.cli.client.HttpCalls;
import io.daisyhoist.cli.client.PlatformClient;
import io.daisyhoist.cli.command.Command;
import io.daisyhoist.cli.command.CommandContext;
import io.daisyhoist.cli.output.CommandResult;
import io.daisyhoist.cli.output.Json;
import io.daisyhoist.core.config.PushLimits;
import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;
import io.daisyhoist.core.model.Names;
import io.daisyhoist.core.time.TimeSource;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Runs one command line. Not thread-safe.
 *
 * @param environment environment variables, which give defaults of options
 * @param directory directory against which paths are resolved
 * @param out receives results, and all JSON
 * @param err receives failures and warnings
 * @param time source of the times in the history
 * @param random source of push ids and jitter
 */
record Tool(
        Map<String, String> environment,
        Path directory,
        PrintStream out,
        PrintStream err,
        TimeSource time,
        RandomGenerator random) {
    /** Runs a command and returns the exit code of the process. */
    int run(String... arguments) {
        try {
            return print(new ToolParser(environment).build().parseArgs(arguments));
        } catch (HelpScreenException e) {
            out.print(e.getParser().formatHelp());
            return 0;
        } catch (ArgumentParserException e) {
            PrintWriter writer = new PrintWriter(err);
            e.getParser().handleError(e, writer);
            writer.flush();
            return ErrorCode.USAGE.exitCode();
        }
    }

    private int print(Namespace options) {
        List<String> warnings = new ArrayList<>();
        CommandResult result = result(options, warnings);
        if (options.getBoolean("json")) {
            out.println(Json.text(result.json()));
        } else {
            (result.exitCode() == 0 ? out : err).print(result.text());
        }
        warnings.forEach(warning -> err.println("Warning: " + warning));
        return result.exitCode();
    }

    private CommandResult result(Namespace options, List<String> warnings) {
        try {
            requireValidAuthor(options);
            List<URI> platformUrls = urls(options, "platform");
            URI adminUrl = urls(options, "admin").get(0);
            try (HttpCalls calls = new HttpCalls(Duration.ofMillis(options.getInt("timeout_ms")))) {
                CommandContext context = new CommandContext(
                        directory,
                        platformUrls.get(0),
                        new PlatformClient(calls, platformUrls),
                        new AdminClient(calls, adminUrl),
                        time,
                        random,
                        Optional.ofNullable(options.getInt("max_unanswered"))
                                .orElse(PushLimits.DEFAULT.maxUnansweredCalls()),
                        warnings);
                return ((Command) options.get("command")).run(options, context);
            }
        } catch (DaisyhoistException e) {
            return CommandResult.of(e);
        }
    }

    private static void requireValidAuthor(Namespace options) {
        String author = options.getString("author");
        if (author != null && !Names.isValid(author)) {
            throw new DaisyhoistException(
                    ErrorCode.USAGE, "--author must be 1 to 64 letters, digits, '.', '_' or '-', not " + author);
        }
    }

    /** Commands that do not call the given peer have no such option; their client is then never used. */
    private static List<URI> urls(Namespace options, String option) {
        String text = Optional.ofNullable(options.getString(option)).orElse("http://127.0.0.1:1");
        List<URI> urls = new ArrayList<>();
        for (String part : Arrays.asList(text.split(",", -1))) {
            urls.add(url(option, part.strip()));
        }
        return urls;
    }

    private static URI url(String option, String text) {
        try {
            URI url = URI.create(text);
            if ("http".equals(url.getScheme()) && url.getHost() != null) {
                return url;
            }
        } catch (IllegalArgumentException e) {
            throw badUrl(option, text);
        }
        throw badUrl(option, text);
    }

    private static DaisyhoistException badUrl(String option, String text) {
        return new DaisyhoistException(
                ErrorCode.USAGE, "--" + option + " expects a URL like http://127.0.0.1:7000, not " + text);
    }
}
