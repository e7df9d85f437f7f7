package io.daisyhoist.cli.command;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.daisyhoist.cli.folder.LocalFiles;
import io.daisyhoist.cli.output.CommandResult;
import io.daisyhoist.cli.output.Json;
import io.daisyhoist.cli.output.Table;
import io.daisyhoist.core.config.ConfigDocument;
import io.daisyhoist.core.config.ConfigDocuments;
import io.daisyhoist.core.config.ConfigFile;
import io.daisyhoist.core.config.EffectiveConfig;
import net.sourceforge.argparse4j.inf.Namespace;

/** Validates local files, alone or merged with the current configuration. */
public final class CheckCommand implements Command {
    @Override
    public CommandResult run(Namespace options, CommandContext context) {
        List<ConfigFile> files = LocalFiles.read(context.workingDirectory(), options.getList("paths")).all().stream()
                .map(file -> new ConfigFile(file.name(), file.content(), 0, ""))
                .toList();
        List<ConfigFile> merged =
                options.getBoolean("merged") ? mergeWithDocument(files, context.readDocument()) : files;
        EffectiveConfig config = ConfigDocuments.effective(new ConfigDocument(0, merged, List.of()));
        return CommandResult.ok(
                EffectiveConfigReport.addToJson(Json.resultObject("valid").put("files", files.size()), config),
                "Valid: " + Table.fileCountText(files.size()) + ".\n\n" + EffectiveConfigReport.toText(config));
    }

    private static List<ConfigFile> mergeWithDocument(List<ConfigFile> files, ConfigDocument document) {
        Set<String> names = files.stream().map(ConfigFile::name).collect(Collectors.toSet());
        Stream<ConfigFile> others = document.files().stream().filter(file -> !names.contains(file.name()));
        return Stream.concat(files.stream(), others).toList();
    }
}
