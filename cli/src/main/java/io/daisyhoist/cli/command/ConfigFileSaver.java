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

/** Saves the platform's files to a folder without overwriting locally changed files. Stateless. */
final class ConfigFileSaver {
    private ConfigFileSaver() {}

    static CommandResult save(ConfigDocument document, String target, CommandContext context) {
        Path folder = LocalFiles.resolve(context.workingDirectory(), target);
        try {
            Files.createDirectories(folder);
            return saveAll(document, folder, target, context);
        } catch (IOException e) {
            throw new DaisyhoistException(ErrorCode.USAGE, "cannot write to " + target, e);
        }
    }

    private static CommandResult saveAll(ConfigDocument document, Path folder, String target, CommandContext context)
            throws IOException {
        BaseRevisions baseRevisions = BaseRevisions.load(folder.toAbsolutePath(), context.platformUrl());
        List<String> saved = new ArrayList<>();
        List<String> kept = new ArrayList<>();
        List<String> conflicts = new ArrayList<>();
        for (ConfigFile file : document.files()) {
            Path path = folder.resolve(Path.of(file.name()).getFileName());
            if (Files.exists(path) && hasLocalChange(LocalFile.read(path), file, baseRevisions)) {
                (isBasedOnStoredRevision(file, baseRevisions) ? kept : conflicts).add(file.name());
                continue;
            }
            Files.writeString(path, file.content());
            baseRevisions.recordIfIdentical(LocalFile.read(path), document);
            saved.add(file.name());
        }
        baseRevisions.save();
        ObjectNode json =
                Json.resultObject(conflicts.isEmpty() ? "ok" : "conflict").put("version", document.version());
        saved.forEach(json.putArray("saved")::add);
        kept.forEach(json.putArray("kept")::add);
        conflicts.forEach(json.putArray("conflicts")::add);
        String text = "Saved " + Table.fileCountText(saved.size()) + " of version " + document.version() + " to "
                + target + ".\n"
                + formatNames("Kept with your changes: ", kept)
                + formatNames("Kept, but someone else changed them too: ", conflicts);
        return conflicts.isEmpty()
                ? CommandResult.ok(json, text)
                : CommandResult.failed(ErrorCode.CONFLICT, json, text);
    }

    private static String formatNames(String label, List<String> names) {
        return names.isEmpty() ? "" : label + String.join(", ", names) + "\n";
    }

    private static boolean hasLocalChange(LocalFile local, ConfigFile stored, BaseRevisions baseRevisions) {
        boolean equal = local.content().equals(stored.content());
        boolean unchanged = baseRevisions
                .find(local.name())
                .filter(base -> local.sha256().equals(base.sha256()))
                .isPresent();
        return !equal && !unchanged;
    }

    private static boolean isBasedOnStoredRevision(ConfigFile stored, BaseRevisions baseRevisions) {
        return baseRevisions
                .find(stored.name())
                .filter(base -> base.revision() == stored.revision())
                .isPresent();
    }
}
