package io.daisyhoist.core.config;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Next version of the document that results from a push.
 *
 * <p>Invariant: files that the push does not name are copied unchanged. Immutable.
 *
 * @param document the version in force
 * @param request the push
 */
record ConfigProposal(ConfigDocument document, PushRequest request) {
    private static final Pattern FILE_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,199}\\.toml");

    /** Lists the edits that change the content of a file. */
    List<FileEdit> changingEdits() {
        return request.edits().stream().filter(this::changesContent).toList();
    }

    /** Lists the files whose base revision is not the one in force. */
    List<FileConflict> conflicts() {
        return changingEdits().stream()
                .filter(edit -> edit.baseRevision() != currentRevision(edit.name()))
                .map(edit -> new FileConflict(
                        edit.name(), edit.baseRevision(), currentRevision(edit.name()), lastAuthor(edit.name())))
                .sorted(Comparator.comparing(FileConflict::file))
                .toList();
    }

    /** Builds the next version of the document. */
    ConfigDocument next() {
        long version = document.version() + 1;
        Map<String, ConfigFile> files =
                new TreeMap<>(document.files().stream().collect(Collectors.toMap(ConfigFile::name, file -> file)));
        List<FileEdit> edits = changingEdits();
        for (FileEdit edit : edits) {
            files.remove(edit.name());
            edit.content()
                    .map(content -> new ConfigFile(edit.name(), content, version, request.author()))
                    .ifPresent(file -> files.put(file.name(), file));
        }
        List<ConfigChange> history = new ArrayList<>(document.changes());
        List<String> names = edits.stream().map(FileEdit::name).sorted().toList();
        history.add(new ConfigChange(version, request.pushId(), names, request.author(), request.time()));
        return new ConfigDocument(version, List.copyOf(files.values()), history);
    }

    /** Lists all faults for which the next version must be rejected. */
    List<ConfigFault> faults(ConfigDocument next) {
        List<ConfigFault> faults = new ArrayList<>(nameFaults());
        int bytes = ConfigDocuments.toJson(next).getBytes(StandardCharsets.UTF_8).length;
        if (bytes > ConfigDocument.MAX_BYTES) {
            faults.add(new ConfigFault(
                    largestFile(next),
                    "",
                    "the configuration would take " + bytes + " bytes; the platform accepts "
                            + ConfigDocument.MAX_BYTES));
        }
        try {
            faults.addAll(partitionFaults(ConfigDocuments.effective(next)));
        } catch (InvalidConfigException e) {
            faults.addAll(e.faults());
        }
        return faults;
    }

    private List<ConfigFault> nameFaults() {
        List<ConfigFault> faults = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        for (FileEdit edit : request.edits()) {
            if (!FILE_NAME.matcher(edit.name()).matches()) {
                faults.add(new ConfigFault(
                        edit.name(), "", "the file name must be letters, digits, '.', '_' or '-' and end in .toml"));
            }
            if (!seen.add(edit.name())) {
                faults.add(new ConfigFault(edit.name(), "", "the push names this file twice"));
            }
        }
        return faults;
    }

    /** Reports a changed number of partitions, which would assign keys to other owners without a hand-over. */
    private List<ConfigFault> partitionFaults(EffectiveConfig next) {
        Optional<EffectiveConfig> current = currentConfig();
        if (current.isEmpty()) {
            return List.of();
        }
        List<ConfigFault> faults = new ArrayList<>();
        for (ServiceSettings service : current.get().services().values()) {
            next.service(service.name())
                    .filter(changed -> changed.partitions() != service.partitions())
                    .ifPresent(changed -> faults.add(partitionFault(service, changed)));
        }
        return faults;
    }

    private ConfigFault partitionFault(ServiceSettings current, ServiceSettings changed) {
        List<String> path = List.of("services", current.name().name(), "partitions");
        return new ConfigFault(
                ConfigMerger.merge(next().files()).fileByPath().getOrDefault(path, ""),
                TomlKeyPaths.format(path),
                "is " + current.partitions() + " in force and cannot change for the life of the service, not "
                        + changed.partitions());
    }

    private Optional<EffectiveConfig> currentConfig() {
        try {
            return Optional.of(ConfigDocuments.effective(document));
        } catch (InvalidConfigException e) {
            // A newer release may reject the version in force; a push that fixes it must remain possible.
            return Optional.empty();
        }
    }

    private boolean changesContent(FileEdit edit) {
        return !document.file(edit.name()).map(ConfigFile::content).equals(edit.content());
    }

    private long currentRevision(String name) {
        return document.file(name).map(ConfigFile::revision).orElse(0L);
    }

    /** Finds the author of the revision in force, or of the removal if it is still in the history. */
    private String lastAuthor(String name) {
        Optional<String> author = document.file(name).map(ConfigFile::author);
        return author.orElseGet(() -> document.changes().stream()
                .filter(change -> change.files().contains(name))
                .reduce((earlier, later) -> later)
                .map(ConfigChange::author)
                .orElse(""));
    }

    private static String largestFile(ConfigDocument document) {
        return document.files().stream()
                .max(Comparator.comparingInt(file -> file.content().length()))
                .map(ConfigFile::name)
                .orElse("");
    }
}
