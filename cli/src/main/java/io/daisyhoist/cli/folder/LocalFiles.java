package io.daisyhoist.cli.folder;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;

/**
 * The files that an operator names on the command line. Immutable.
 *
 * @param named files named one by one
 * @param listed files found in named folders
 */
public record LocalFiles(List<LocalFile> named, List<LocalFile> listed) {
    /** Copies the lists. */
    public LocalFiles {
        named = List.copyOf(named);
        listed = List.copyOf(listed);
    }

    /** Reads files, and the {@code .toml} files of folders, without their sub-folders. */
    public static LocalFiles read(Path directory, List<String> arguments) {
        List<LocalFile> named = new ArrayList<>();
        List<LocalFile> listed = new ArrayList<>();
        for (String argument : arguments) {
            Path path = resolve(directory, argument);
            if (Files.isDirectory(path)) {
                list(path, argument).forEach(file -> listed.add(LocalFile.read(file)));
            } else {
                named.add(readNamed(path, argument));
            }
        }
        return new LocalFiles(named, listed);
    }

    /** Returns all files. */
    public List<LocalFile> all() {
        return Stream.concat(named.stream(), listed.stream()).toList();
    }

    /** Resolves a path from the command line. */
    public static Path resolve(Path directory, String argument) {
        try {
            return directory.resolve(argument);
        } catch (InvalidPathException e) {
            throw usage("not a path: " + argument);
        }
    }

    private static LocalFile readNamed(Path path, String argument) {
        if (!Files.isRegularFile(path)) {
            throw usage("there is no file or folder " + argument);
        }
        return LocalFile.read(path);
    }

    private static List<Path> list(Path folder, String argument) {
        try (Stream<Path> paths = Files.list(folder)) {
            List<Path> files = paths.filter(
                            path -> path.getFileName().toString().endsWith(".toml"))
                    .filter(Files::isRegularFile)
                    .sorted()
                    .toList();
            if (files.isEmpty()) {
                throw usage("there are no .toml files in " + argument);
            }
            return files;
        } catch (IOException e) {
            throw new DaisyhoistException(ErrorCode.USAGE, "cannot list " + argument, e);
        }
    }

    private static DaisyhoistException usage(String message) {
        return new DaisyhoistException(ErrorCode.USAGE, message);
    }
}
