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
import io.daisyhoist.cli.client.BlockingHttpClient;
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
 * Parses and executes one command line. Not thread-safe.
 *
 * @param environment environment variables that provide option defaults
 * @param workingDirectory directory against which paths are resolved
 * @param out stream for results and all JSON output
 * @param err stream for errors and warnings
 * @param time clock for the timestamps in the change history
 * @param random random generator for push ids and retry jitter
 */
record CommandLineRunner(
        Map<String, String> environment,
        Path workingDirectory,
        PrintStream out,
        PrintStream err,
        TimeSource time,
        RandomGenerator random) {
    /** Runs a command and returns the exit code of the process. */
    int run(String... arguments) {
        try {
            return executeAndPrint(
                    new ArgumentParserFactory(environment).build().parseArgs(arguments));
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

    private int executeAndPrint(Namespace options) {
        List<String> warnings = new ArrayList<>();
        CommandResult result = execute(options, warnings);
        if (options.getBoolean("json")) {
            out.println(Json.toText(result.json()));
        } else {
            (result.exitCode() == 0 ? out : err).print(result.text());
        }
        warnings.forEach(warning -> err.println("Warning: " + warning));
        return result.exitCode();
    }

    private CommandResult execute(Namespace options, List<String> warnings) {
        try {
            requireValidAuthor(options);
            List<URI> platformUrls = parseUrls(options, "platform");
            URI adminUrl = parseUrls(options, "admin").get(0);
            try (BlockingHttpClient httpClient =
                    new BlockingHttpClient(Duration.ofMillis(options.getInt("timeout_ms")))) {
                CommandContext context = new CommandContext(
                        workingDirectory,
                        platformUrls.get(0),
                        new PlatformClient(httpClient, platformUrls),
                        new AdminClient(httpClient, adminUrl),
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

    /** Commands that do not contact this server lack the option; the placeholder URL is then never used. */
    private static List<URI> parseUrls(Namespace options, String option) {
        String text = Optional.ofNullable(options.getString(option)).orElse("http://127.0.0.1:1");
        List<URI> urls = new ArrayList<>();
        for (String part : Arrays.asList(text.split(",", -1))) {
            urls.add(parseUrl(option, part.strip()));
        }
        return urls;
    }

    private static URI parseUrl(String option, String text) {
        try {
            URI url = URI.create(text);
            if ("http".equals(url.getScheme()) && url.getHost() != null) {
                return url;
            }
        } catch (IllegalArgumentException e) {
            throw invalidUrl(option, text);
        }
        throw invalidUrl(option, text);
    }

    private static DaisyhoistException invalidUrl(String option, String text) {
        return new DaisyhoistException(
                ErrorCode.USAGE, "--" + option + " expects a URL like http://127.0.0.1:7000, not " + text);
    }
}
