package io.daisyhoist.cli.command;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.daisyhoist.cli.folder.BaseRevisions;
import io.daisyhoist.cli.folder.LocalFile;
import io.daisyhoist.cli.folder.LocalFiles;
import io.daisyhoist.cli.output.CommandResult;
import io.daisyhoist.cli.output.Json;
import io.daisyhoist.core.config.ConfigDocument;
import io.daisyhoist.core.config.FileEdit;
import io.daisyhoist.core.config.PushOutcome;
import io.daisyhoist.core.config.PushRequest;
import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Pushes configuration files to the platform.
 *
 * <p>Skips files of a given folder that are unchanged since they were last identical to the platform's copy: they may
 * be outdated copies of other operators' files.
 */
public final class PushCommand implements Command {
    @Override
    public CommandResult run(Namespace options, CommandContext context) {
        LocalFiles files = LocalFiles.read(context.workingDirectory(), options.getList("paths"));
        List<String> removals =
                Optional.ofNullable(options.<String>getList("remove")).orElse(List.of());
        if (files.all().isEmpty() && removals.isEmpty()) {
            throw new DaisyhoistException(ErrorCode.USAGE, "name a folder or files to push, or use --remove NAME");
        }
        Map<Path, BaseRevisions> baseRevisions = loadBaseRevisions(files, context);
        Map<String, Long> baseOptions = parseBaseOptions(options);
        List<FileEdit> edits = new ArrayList<>();
        files.explicitFiles().forEach(file -> edits.add(updateEdit(file, baseRevisions, baseOptions)));
        files.folderFiles().stream()
                .filter(file -> isChanged(file, baseRevisions) || baseOptions.containsKey(file.name()))
                .forEach(file -> edits.add(updateEdit(file, baseRevisions, baseOptions)));
        removals.forEach(name -> edits.add(removalEdit(name, baseRevisions, baseOptions)));
        if (edits.isEmpty()) {
            return CommandResult.ok(
                    Json.resultObject("unchanged"), "Nothing to push: no file was changed here since the last push.\n");
        }
        PushRequest request = context.newPush(options.getString("author"), edits);
        PushOutcome outcome = new PushRunner(context, request).run();
        currentDocument(outcome)
                .ifPresent(document -> saveBaseRevisions(files, removals, baseRevisions, document, context));
        return PushReport.describe(outcome, request, context);
    }

    private static Map<Path, BaseRevisions> loadBaseRevisions(LocalFiles files, CommandContext context) {
        Map<Path, BaseRevisions> baseRevisions = new HashMap<>();
        files.all()
                .forEach(file -> baseRevisions.computeIfAbsent(
                        file.folder(), folder -> BaseRevisions.load(folder, context.platformUrl())));
        return baseRevisions;
    }

    private static boolean isChanged(LocalFile file, Map<Path, BaseRevisions> baseRevisions) {
        return baseRevisions
                .get(file.folder())
                .find(file.name())
                .filter(base -> file.sha256().equals(base.sha256()))
                .isEmpty();
    }

    private static FileEdit updateEdit(
            LocalFile file, Map<Path, BaseRevisions> baseRevisions, Map<String, Long> baseOptions) {
        long recorded = baseRevisions
                .get(file.folder())
                .find(file.name())
                .map(BaseRevisions.Base::revision)
                .orElse(0L);
        return new FileEdit(file.name(), Optional.of(file.content()), baseOptions.getOrDefault(file.name(), recorded));
    }

    private static FileEdit removalEdit(
            String name, Map<Path, BaseRevisions> baseRevisions, Map<String, Long> baseOptions) {
        long recorded = baseRevisions.values().stream()
                .flatMap(folder -> folder.find(name).stream())
                .mapToLong(BaseRevisions.Base::revision)
                .max()
                .orElse(0);
        return new FileEdit(name, Optional.empty(), baseOptions.getOrDefault(name, recorded));
    }

    private static Map<String, Long> parseBaseOptions(Namespace options) {
        Map<String, Long> revisions = new HashMap<>();
        for (String text : Optional.ofNullable(options.<String>getList("base")).orElse(List.of())) {
            int equals = text.lastIndexOf('=');
            if (equals < 1 || !text.substring(equals + 1).matches("[0-9]{1,18}")) {
                throw new DaisyhoistException(ErrorCode.USAGE, "--base expects NAME=REVISION, not " + text);
            }
            revisions.put(text.substring(0, equals), Long.parseLong(text.substring(equals + 1)));
        }
        return revisions;
    }

    private static Optional<ConfigDocument> currentDocument(PushOutcome outcome) {
        if (outcome instanceof PushOutcome.Accepted accepted) {
            return Optional.of(accepted.document());
        }
        return outcome instanceof PushOutcome.Unchanged unchanged
                ? Optional.of(unchanged.document())
                : Optional.empty();
    }

    /** Saves the base revisions. The push has already taken effect, so a failure here is only a warning. */
    private static void saveBaseRevisions(
            LocalFiles files,
            List<String> removals,
            Map<Path, BaseRevisions> baseRevisions,
            ConfigDocument document,
            CommandContext context) {
        files.all().forEach(file -> baseRevisions.get(file.folder()).recordIfIdentical(file, document));
        removals.forEach(name -> baseRevisions.values().forEach(folder -> folder.remove(name)));
        try {
            baseRevisions.values().forEach(BaseRevisions::save);
        } catch (DaisyhoistException e) {
            context.warnings().add(e.getMessage() + "; the next push of these files needs --base");
        }
    }
}
