package io.daisyhoist.testkit.launch;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import io.daisyhoist.core.config.ConfigFile;
import io.daisyhoist.core.config.ConfigMerger;
import io.daisyhoist.core.config.ConfigValidator;
import io.daisyhoist.core.config.EffectiveConfig;

/** Reads the effective configuration of a folder of configuration files. Stateless. */
public final class ConfigFolderReader {
    private ConfigFolderReader() {}

    /** Reads, merges and validates the TOML files of a folder. */
    public static EffectiveConfig read(Path folder) {
        try (Stream<Path> files = Files.list(folder)) {
            List<ConfigFile> contents = files.filter(file -> file.toString().endsWith(".toml"))
                    .map(ConfigFolderReader::readFile)
                    .toList();
            return ConfigValidator.validate(0, ConfigMerger.merge(contents));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static ConfigFile readFile(Path file) {
        try {
            return new ConfigFile(file.getFileName().toString(), Files.readString(file), 0, "example");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
