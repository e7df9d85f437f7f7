package io.daisyhoist.cli.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.daisyhoist.cli.output.CommandResult;
import io.daisyhoist.core.config.ConfigDocument;
import io.daisyhoist.core.config.ConfigDocuments;
import io.daisyhoist.core.config.ConfigFile;
import io.daisyhoist.core.config.ConfigMerger;
import io.daisyhoist.core.config.FileEdit;
import io.daisyhoist.core.config.PushOutcome;
import io.daisyhoist.core.config.PushRequest;
import io.daisyhoist.core.config.ZoneState;
import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.Names;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Takes an availability zone out of service or returns it to service, by pushing a file that belongs to the
 * operator.
 *
 * <p>The file name contains the number of the version that the push creates, so the file of the latest command sorts
 * last and takes precedence, whoever issued the earlier ones. Files of other operators are not modified.
 */
public final class ZoneCommand implements Command {
    private static final String FILE_NAME_PREFIX = "90-zone-";

    /**
     * A push retried after a write conflict keeps its file name with the lower version number and may be overridden; a
     * new attempt gets a higher number.
     */
    private static final int MAX_ATTEMPTS = 5;

    private final ZoneState targetState;

    public ZoneCommand(ZoneState targetState) {
        this.targetState = targetState;
    }

    @Override
    public CommandResult run(Namespace options, CommandContext context) {
        String name = options.getString("zone");
        String author = options.getString("author");
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            ConfigDocument document = context.readDocumentWithRetries();
            if (hasTargetState(document, requireZone(name, document))) {
                return addZoneState(PushReport.unchanged(document), name);
            }
            PushRequest request = context.newPush(author, edits(name, author, document));
            PushOutcome outcome = new PushRunner(context, request).run();
            boolean overridden = outcome instanceof PushOutcome.Accepted accepted
                    && !hasTargetState(accepted.document(), new AvailabilityZone(name));
            if (!overridden) {
                return addZoneState(PushReport.describe(outcome, request, context), name);
            }
        }
        throw new DaisyhoistException(
                ErrorCode.CONFLICT, "other operators keep changing the state of zone " + name + "; see config history");
    }

    private static AvailabilityZone requireZone(String name, ConfigDocument document) {
        Optional<AvailabilityZone> zone = Names.isValid(name)
                ? Optional.of(new AvailabilityZone(name))
                        .filter(ConfigDocuments.effective(document).zones()::containsKey)
                : Optional.empty();
        return zone.orElseThrow(() ->
                new DaisyhoistException(ErrorCode.NOT_FOUND, "version " + document.version() + " has no zone " + name));
    }

    private boolean hasTargetState(ConfigDocument document, AvailabilityZone zone) {
        return ConfigDocuments.effective(document).zones().get(zone) == targetState;
    }

    private List<FileEdit> edits(String zone, String author, ConfigDocument document) {
        String file = "%s%s-%08d-%s.toml".formatted(FILE_NAME_PREFIX, zone, document.version() + 1, author);
        requireSortsLast(file, zone, document);
        String state = targetState.name().toLowerCase(Locale.ROOT);
        List<FileEdit> edits = new ArrayList<>();
        edits.add(new FileEdit(
                file,
                Optional.of("# Written by `daisyhoist zone " + state + " " + zone + "`.\n[zones.\"" + zone
                        + "\"]\nstate = \"" + state + "\"\n"),
                0));
        Pattern previousFiles = Pattern.compile(
                Pattern.quote(FILE_NAME_PREFIX + zone + "-") + "[0-9]{8}-" + Pattern.quote(author + ".toml"));
        for (ConfigFile existing : document.files()) {
            if (previousFiles.matcher(existing.name()).matches()
                    && existing.author().equals(author)) {
                edits.add(new FileEdit(existing.name(), Optional.empty(), existing.revision()));
            }
        }
        return edits;
    }

    private static void requireSortsLast(String file, String zone, ConfigDocument document) {
        String definingFile =
                ConfigMerger.merge(document.files()).fileByPath().getOrDefault(List.of("zones", zone, "state"), "");
        if (definingFile.compareTo(file) > 0) {
            String author = document.file(definingFile).map(ConfigFile::author).orElse("");
            throw new DaisyhoistException(
                    ErrorCode.CONFLICT,
                    "the file " + definingFile + " of " + author + " sets this zone and sorts after " + file
                            + "; the zone must be changed there");
        }
    }

    private CommandResult addZoneState(CommandResult result, String zone) {
        if (result.exitCode() != 0) {
            return result;
        }
        String state = targetState.name().toLowerCase(Locale.ROOT);
        ObjectNode json = result.json().put("zone", zone).put("state", state);
        return CommandResult.ok(json, result.text() + "Zone " + zone + " is " + state + ".\n");
    }
}
