package io.daisyhoist.cli.command;

import java.util.List;

import io.daisyhoist.cli.folder.LocalFiles;
import io.daisyhoist.cli.output.CommandResult;
import io.daisyhoist.cli.output.Json;
import io.daisyhoist.cli.output.Table;
import io.daisyhoist.core.config.ConfigDocument;
import io.daisyhoist.core.config.ConfigDocuments;
import io.daisyhoist.core.config.ConfigFile;
import io.daisyhoist.core.config.EffectiveConfig;
import net.sourceforge.argparse4j.inf.Namespace;

/** Validates files on the operator's disk; calls nobody. */
public final class CheckCommand implements Command {
    @Override
    public CommandResult run(Namespace options, CommandContext context) {
        List<ConfigFile> files = LocalFiles.read(context.directory(), options.getList("paths")).all().stream()
                .map(file -> new ConfigFile(file.name(), file.content(), 0, ""))
                .toList();
        EffectiveConfig config = ConfigDocuments.effective(new ConfigDocument(0, files, List.of()));
        return CommandResult.ok(
                EffectiveReport.addTo(Json.result("valid").put("files", files.size()), config),
                "Valid: " + Table.files(files.size()) + ".\n\n" + EffectiveReport.text(config));
    }
}
