package io.daisyhoist.cli.command;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.daisyhoist.cli.output.CommandResult;
import io.daisyhoist.cli.output.Json;
import io.daisyhoist.cli.output.Table;
import io.daisyhoist.core.config.ConfigChange;
import io.daisyhoist.core.config.ConfigDocument;
import net.sourceforge.argparse4j.inf.Namespace;

/** Lists the changes that the configuration document retains, newest first. */
public final class HistoryCommand implements Command {
    @Override
    public CommandResult run(Namespace options, CommandContext context) {
        ConfigDocument document = context.readDocument();
        List<ConfigChange> changes = new ArrayList<>(document.changes());
        Collections.reverse(changes);
        ObjectNode json = Json.resultObject("ok").put("version", document.version());
        ArrayNode list = json.putArray("changes");
        Table table = new Table("VERSION", "TIME", "AUTHOR", "PUSH", "FILES");
        for (ConfigChange change : changes) {
            ObjectNode entry = list.addObject()
                    .put("version", change.version())
                    .put("time", change.time().toString())
                    .put("author", change.author())
                    .put("push_id", change.pushId());
            change.files().forEach(entry.putArray("files")::add);
            table.addRow(
                    change.version(),
                    change.time(),
                    change.author(),
                    change.pushId(),
                    String.join(" ", change.files()));
        }
        return CommandResult.ok(json, table.toString());
    }
}
