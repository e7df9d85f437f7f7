package io.daisyhoist.cli.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.daisyhoist.cli.folder.BaseRevisions;
import io.daisyhoist.cli.folder.LocalFile;
import io.daisyhoist.cli.folder.LocalFiles;
import io.daisyhoist.cli.output.CommandResult;
import io.daisyhoist.cli.output.Json;
import io.daisyhoist.cli.output.Table;
import io.daisyhoist.core.config.ConfigDocument;
import io.daisyhoist.core.config.ConfigFile;
import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;

/** Saves the platform's files to a folder, without overwriting a file that the operator has changed. Stateless. */
final class SaveFiles {
    private SaveFiles() {}

    static CommandResult save(ConfigDocument document, String target, CommandContext context) {
        Path folder = LocalFiles.resolve(context.directory(), target);
        try {
            Files.createDirectories(folder);
            return saveAll(document, folder, target, context);
        } catch (IOException e) {
            throw new DaisyhoistException(ErrorCode.USAGE, "cannot write to " + target, e);
        }
    }

    private static CommandResult saveAll(ConfigDocument document, Path folder, String target, CommandContext context)
            throws IOException {
        BaseRevisions bases = BaseRevisions.load(folder.toAbsolutePath(), context.platformUrl());
        List<String> saved = new ArrayList<>();
        List<String> kept = new ArrayList<>();
        List<String> conflicts = new ArrayList<>();
        for (ConfigFile file : document.files()) {
            Path path = folder.resolve(Path.of(file.name()).getFileName());
            if (Files.exists(path) && isOwnChange(LocalFile.read(path), file, bases)) {
                (isBasedOn(file, bases) ? kept : conflicts).add(file.name());
                continue;
            }
            Files.writeString(path, file.content());
            bases.record(LocalFile.read(path), document);
            saved.add(file.name());
        }
        bases.save();
        ObjectNode json = Json.result(conflicts.isEmpty() ? "ok" : "conflict").put("version", document.version());
        saved.forEach(json.putArray("saved")::add);
        kept.forEach(json.putArray("kept")::add);
        conflicts.forEach(json.putArray("conflicts")::add);
        String text =
                "Saved " + Table.files(saved.size()) + " of version " + document.version() + " to " + target + ".\n"
                        + list("Kept with your changes: ", kept)
                        + list("Kept, but someone else changed them too: ", conflicts);
        return conflicts.isEmpty()
                ? CommandResult.ok(json, text)
                : CommandResult.failed(ErrorCode.CONFLICT, json, text);
    }

    private static String list(String label, List<String> names) {
        return names.isEmpty() ? "" : label + String.join(", ", names) + "\n";
    }

    private static boolean isOwnChange(LocalFile local, ConfigFile stored, BaseRevisions bases) {
        boolean equal = local.content().equals(stored.content());
        boolean unchanged = bases.base(local.name())
                .filter(base -> local.sha256().equals(base.sha256()))
                .isPresent();
        return !equal && !unchanged;
    }

    private static boolean isBasedOn(ConfigFile stored, BaseRevisions bases) {
        return bases.base(stored.name())
                .filter(base -> base.revision() == stored.revision())
                .isPresent();
    }
}
