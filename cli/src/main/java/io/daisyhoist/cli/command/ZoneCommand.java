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
 * Takes a zone out or brings it back, by a file of the operator's own.
 *
 * <p>The file name holds the number of the version that it makes, so that the latest command sorts last and wins, whoever
 * gave the earlier ones; no other operator's file is rewritten.
 */
public final class ZoneCommand implements Command {
    private static final String PREFIX = "90-zone-";

    /** A command that lost a race keeps its lower number and may be overridden; the next attempt gets a higher one. */
    private static final int MAX_ATTEMPTS = 5;

    private final ZoneState wanted;

    public ZoneCommand(ZoneState wanted) {
        this.wanted = wanted;
    }

    @Override
    public CommandResult run(Namespace options, CommandContext context) {
        String name = options.getString("zone");
        String author = options.getString("author");
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            ConfigDocument document = context.readDocumentPatiently();
            if (isInForce(document, zone(name, document))) {
                return withState(PushReport.unchanged(document), name);
            }
            PushRequest request = context.newPush(author, edits(name, author, document));
            PushOutcome outcome = new PushRunner(context, request).run();
            boolean overridden = outcome instanceof PushOutcome.Accepted accepted
                    && !isInForce(accepted.document(), new AvailabilityZone(name));
            if (!overridden) {
                return withState(PushReport.describe(outcome, request, context), name);
            }
        }
        throw new DaisyhoistException(
                ErrorCode.CONFLICT, "other operators keep changing the state of zone " + name + "; see config history");
    }

    private static AvailabilityZone zone(String name, ConfigDocument document) {
        Optional<AvailabilityZone> zone = Names.isValid(name)
                ? Optional.of(new AvailabilityZone(name))
                        .filter(ConfigDocuments.effective(document).zones()::containsKey)
                : Optional.empty();
        return zone.orElseThrow(() ->
                new DaisyhoistException(ErrorCode.NOT_FOUND, "version " + document.version() + " has no zone " + name));
    }

    private boolean isInForce(ConfigDocument document, AvailabilityZone zone) {
        return ConfigDocuments.effective(document).zones().get(zone) == wanted;
    }

    private List<FileEdit> edits(String zone, String author, ConfigDocument document) {
        String file = "%s%s-%08d-%s.toml".formatted(PREFIX, zone, document.version() + 1, author);
        requireLast(file, zone, document);
        String state = wanted.name().toLowerCase(Locale.ROOT);
        List<FileEdit> edits = new ArrayList<>();
        edits.add(new FileEdit(
                file,
                Optional.of("# Written by `daisyhoist zone " + state + " " + zone + "`.\n[zones.\"" + zone
                        + "\"]\nstate = \"" + state + "\"\n"),
                0));
        Pattern older =
                Pattern.compile(Pattern.quote(PREFIX + zone + "-") + "[0-9]{8}-" + Pattern.quote(author + ".toml"));
        for (ConfigFile present : document.files()) {
            if (older.matcher(present.name()).matches() && present.author().equals(author)) {
                edits.add(new FileEdit(present.name(), Optional.empty(), present.revision()));
            }
        }
        return edits;
    }

    private static void requireLast(String file, String zone, ConfigDocument document) {
        String setter =
                ConfigMerger.merge(document.files()).fileByPath().getOrDefault(List.of("zones", zone, "state"), "");
        if (setter.compareTo(file) > 0) {
            String author = document.file(setter).map(ConfigFile::author).orElse("");
            throw new DaisyhoistException(
                    ErrorCode.CONFLICT,
                    "the file " + setter + " of " + author + " sets this zone and sorts after " + file
                            + "; the zone must be changed there");
        }
    }

    private CommandResult withState(CommandResult result, String zone) {
        if (result.exitCode() != 0) {
            return result;
        }
        String state = wanted.name().toLowerCase(Locale.ROOT);
        ObjectNode json = result.json().put("zone", zone).put("state", state);
        return CommandResult.ok(json, result.text() + "Zone " + zone + " is " + state + ".\n");
    }
}
