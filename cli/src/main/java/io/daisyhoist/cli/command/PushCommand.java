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
 * Pushes files to the platform.
 *
 * <p>Files of a named folder that the operator has not changed since they were last equal to the platform's copy are left
 * out: they may be old copies of other operators' files.
 */
public final class PushCommand implements Command {
    @Override
    public CommandResult run(Namespace options, CommandContext context) {
        LocalFiles files = LocalFiles.read(context.directory(), options.getList("paths"));
        List<String> removals =
                Optional.ofNullable(options.<String>getList("remove")).orElse(List.of());
        if (files.all().isEmpty() && removals.isEmpty()) {
            throw new DaisyhoistException(ErrorCode.USAGE, "name a folder or files to push, or use --remove NAME");
        }
        Map<Path, BaseRevisions> bases = bases(files, context);
        Map<String, Long> statedBases = statedBases(options);
        List<FileEdit> edits = new ArrayList<>();
        files.named().forEach(file -> edits.add(edit(file, bases, statedBases)));
        files.listed().stream()
                .filter(file -> isChanged(file, bases) || statedBases.containsKey(file.name()))
                .forEach(file -> edits.add(edit(file, bases, statedBases)));
        removals.forEach(name -> edits.add(removal(name, bases, statedBases)));
        if (edits.isEmpty()) {
            return CommandResult.ok(
                    Json.result("unchanged"), "Nothing to push: no file was changed here since the last push.\n");
        }
        PushRequest request = context.newPush(options.getString("author"), edits);
        PushOutcome outcome = new PushRunner(context, request).run();
        documentInForce(outcome).ifPresent(document -> saveBases(files, removals, bases, document, context));
        return PushReport.describe(outcome, request, context);
    }

    private static Map<Path, BaseRevisions> bases(LocalFiles files, CommandContext context) {
        Map<Path, BaseRevisions> bases = new HashMap<>();
        files.all()
                .forEach(file -> bases.computeIfAbsent(
                        file.folder(), folder -> BaseRevisions.load(folder, context.platformUrl())));
        return bases;
    }

    private static boolean isChanged(LocalFile file, Map<Path, BaseRevisions> bases) {
        return bases.get(file.folder())
                .base(file.name())
                .filter(base -> file.sha256().equals(base.sha256()))
                .isEmpty();
    }

    private static FileEdit edit(LocalFile file, Map<Path, BaseRevisions> bases, Map<String, Long> statedBases) {
        long recorded = bases.get(file.folder())
                .base(file.name())
                .map(BaseRevisions.Base::revision)
                .orElse(0L);
        return new FileEdit(file.name(), Optional.of(file.content()), statedBases.getOrDefault(file.name(), recorded));
    }

    private static FileEdit removal(String name, Map<Path, BaseRevisions> bases, Map<String, Long> statedBases) {
        long recorded = bases.values().stream()
                .flatMap(folder -> folder.base(name).stream())
                .mapToLong(BaseRevisions.Base::revision)
                .max()
                .orElse(0);
        return new FileEdit(name, Optional.empty(), statedBases.getOrDefault(name, recorded));
    }

    private static Map<String, Long> statedBases(Namespace options) {
        Map<String, Long> bases = new HashMap<>();
        for (String text : Optional.ofNullable(options.<String>getList("base")).orElse(List.of())) {
            int equals = text.lastIndexOf('=');
            if (equals < 1 || !text.substring(equals + 1).matches("[0-9]{1,18}")) {
                throw new DaisyhoistException(ErrorCode.USAGE, "--base expects NAME=REVISION, not " + text);
            }
            bases.put(text.substring(0, equals), Long.parseLong(text.substring(equals + 1)));
        }
        return bases;
    }

    private static Optional<ConfigDocument> documentInForce(PushOutcome outcome) {
        if (outcome instanceof PushOutcome.Accepted accepted) {
            return Optional.of(accepted.document());
        }
        return outcome instanceof PushOutcome.Unchanged unchanged
                ? Optional.of(unchanged.document())
                : Optional.empty();
    }

    /** The push is in force even if this fails, so a failure is only a warning. */
    private static void saveBases(
            LocalFiles files,
            List<String> removals,
            Map<Path, BaseRevisions> bases,
            ConfigDocument document,
            CommandContext context) {
        files.all().forEach(file -> bases.get(file.folder()).record(file, document));
        removals.forEach(name -> bases.values().forEach(folder -> folder.forget(name)));
        try {
            bases.values().forEach(BaseRevisions::save);
        } catch (DaisyhoistException e) {
            context.warnings().add(e.getMessage() + "; the next push of these files needs --base");
        }
    }
}
