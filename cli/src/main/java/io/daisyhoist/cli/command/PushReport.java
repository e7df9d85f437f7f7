package io.daisyhoist.cli.command;

import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.daisyhoist.cli.output.CommandResult;
import io.daisyhoist.cli.output.Json;
import io.daisyhoist.cli.output.Table;
import io.daisyhoist.core.config.ConfigChange;
import io.daisyhoist.core.config.ConfigDocument;
import io.daisyhoist.core.config.FileConflict;
import io.daisyhoist.core.config.PushOutcome;
import io.daisyhoist.core.config.PushRequest;
import io.daisyhoist.core.error.ErrorCode;

/** Formats the outcome of a push. Stateless. */
final class PushReport {
    private PushReport() {}

    static CommandResult describe(PushOutcome outcome, PushRequest request, CommandContext context) {
        if (outcome instanceof PushOutcome.Accepted accepted) {
            return accepted(accepted.document(), request);
        }
        if (outcome instanceof PushOutcome.Unchanged unchanged) {
            return unchanged(unchanged.document());
        }
        if (outcome instanceof PushOutcome.Conflicted conflicted) {
            return conflicted(conflicted.conflicts());
        }
        if (outcome instanceof PushOutcome.Invalid invalid) {
            return CommandResult.invalid(invalid.faults(), "Invalid configuration; nothing was pushed.");
        }
        if (outcome instanceof PushOutcome.NotApplied notApplied) {
            return notApplied(notApplied.reason(), context);
        }
        return unknown(((PushOutcome.Unknown) outcome).reason(), request, context);
    }

    private static CommandResult accepted(ConfigDocument document, PushRequest request) {
        List<String> files =
                document.change(request.pushId()).map(ConfigChange::files).orElse(List.of());
        ObjectNode json = Json.resultObject("accepted").put("version", document.version());
        files.forEach(json.putArray("files")::add);
        return CommandResult.ok(
                json, "Accepted as version " + document.version() + ": " + String.join(", ", files) + "\n");
    }

    static CommandResult unchanged(ConfigDocument document) {
        return CommandResult.ok(
                Json.resultObject("unchanged").put("version", document.version()),
                "Nothing to change: version " + document.version() + " already holds this.\n");
    }

    private static CommandResult conflicted(List<FileConflict> conflicts) {
        ObjectNode json = Json.resultObject("conflict");
        ArrayNode list = json.putArray("conflicts");
        Table table = new Table("FILE", "YOUR BASE", "IN FORCE", "AUTHOR");
        for (FileConflict conflict : conflicts) {
            list.addObject()
                    .put("file", conflict.file())
                    .put("base", conflict.baseRevision())
                    .put("revision", conflict.revision())
                    .put("author", conflict.author());
            table.addRow(
                    conflict.file(),
                    conflict.baseRevision() == 0 ? "none" : conflict.baseRevision(),
                    conflict.revision() == 0 ? "removed" : conflict.revision(),
                    conflict.author());
        }
        return CommandResult.failed(
                ErrorCode.CONFLICT,
                json,
                "Conflict; nothing was pushed. These files are not based on the revisions in force:\n" + table
                        + "Read the text in force with `daisyhoist config show --file NAME`, merge it into yours, and push with\n"
                        + "`--base NAME=REVISION`, where REVISION is the one in force (0 if removed).\n");
    }

    private static CommandResult notApplied(String reason, CommandContext context) {
        String message = "Not applied: " + reason + lastFailureText(context);
        ObjectNode json = Json.resultObject("not-applied").put("message", message);
        return CommandResult.failed(ErrorCode.PLATFORM_UNREACHABLE, json, message + "\n");
    }

    private static CommandResult unknown(String reason, PushRequest request, CommandContext context) {
        String message = "Outcome unknown: " + reason + lastFailureText(context);
        ObjectNode json =
                Json.resultObject("outcome-unknown").put("message", message).put("push_id", request.pushId());
        return CommandResult.failed(
                ErrorCode.OUTCOME_UNKNOWN,
                json,
                message + "\nThe push may be in force, or come into force later. Look for its id " + request.pushId()
                        + "\nin `daisyhoist config history`, or repeat the same push: that is safe in either case.\n");
    }

    private static String lastFailureText(CommandContext context) {
        return context.platform()
                .lastFailure()
                .map(text -> "; the last one: " + text)
                .orElse("");
    }
}
