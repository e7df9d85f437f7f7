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

/** Validates files on the operator's disk, alone or merged with the configuration in force. */
public final class CheckCommand implements Command {
    @Override
    public CommandResult run(Namespace options, CommandContext context) {
        List<ConfigFile> files = LocalFiles.read(context.directory(), options.getList("paths")).all().stream()
                .map(file -> new ConfigFile(file.name(), file.content(), 0, ""))
                .toList();
        List<ConfigFile> merged = options.getBoolean("merged") ? merged(files, context.readDocument()) : files;
        EffectiveConfig config = ConfigDocuments.effective(new ConfigDocument(0, merged, List.of()));
        return CommandResult.ok(
                EffectiveReport.addTo(Json.result("valid").put("files", files.size()), config),
                "Valid: " + Table.files(files.size()) + ".\n\n" + EffectiveReport.text(config));
    }

    private static List<ConfigFile> merged(List<ConfigFile> files, ConfigDocument document) {
        Set<String> names = files.stream().map(ConfigFile::name).collect(Collectors.toSet());
        Stream<ConfigFile> others = document.files().stream().filter(file -> !names.contains(file.name()));
        return Stream.concat(files.stream(), others).toList();
    }
}
