package io.daisyhoist.cli.command;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.daisyhoist.cli.output.CommandResult;
import io.daisyhoist.cli.output.Json;
import io.daisyhoist.cli.output.Table;
import io.daisyhoist.core.config.ConfigDocument;
import io.daisyhoist.core.config.ConfigDocuments;
import io.daisyhoist.core.config.ConfigFile;
import io.daisyhoist.core.config.EffectiveConfig;
import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;
import net.sourceforge.argparse4j.inf.Namespace;

/** Shows the current configuration or one of its files, or saves all files to a folder. */
public final class ShowCommand implements Command {
    @Override
    public CommandResult run(Namespace options, CommandContext context) {
        ConfigDocument document = context.readDocument();
        Optional<String> file = Optional.ofNullable(options.getString("file"));
        if (file.isPresent()) {
            return showFile(document, file.get());
        }
        Optional<String> folder = Optional.ofNullable(options.getString("save"));
        return folder.map(target -> ConfigFileSaver.save(document, target, context))
                .orElseGet(() -> showAll(document));
    }

    private static CommandResult showFile(ConfigDocument document, String name) {
        ConfigFile file = document.file(name)
                .orElseThrow(() -> new DaisyhoistException(
                        ErrorCode.NOT_FOUND, "version " + document.version() + " has no file " + name));
        ObjectNode json = Json.resultObject("ok")
                .put("file", file.name())
                .put("revision", file.revision())
                .put("author", file.author())
                .put("content", file.content());
        return CommandResult.ok(json, file.content().endsWith("\n") ? file.content() : file.content() + "\n");
    }

    private static CommandResult showAll(ConfigDocument document) {
        EffectiveConfig config = ConfigDocuments.effective(document);
        ObjectNode json = Json.resultObject("ok").put("version", document.version());
        ArrayNode list = json.putArray("files");
        Table files = new Table("FILE", "REVISION", "AUTHOR", "BYTES");
        for (ConfigFile file : document.files()) {
            int bytes = file.content().getBytes(StandardCharsets.UTF_8).length;
            list.addObject()
                    .put("file", file.name())
                    .put("revision", file.revision())
                    .put("author", file.author())
                    .put("bytes", bytes);
            files.addRow(file.name(), file.revision(), file.author(), bytes);
        }
        return CommandResult.ok(
                EffectiveConfigReport.addToJson(json, config),
                "Version " + document.version() + "\n\n" + files + "\n" + EffectiveConfigReport.toText(config));
    }
}
