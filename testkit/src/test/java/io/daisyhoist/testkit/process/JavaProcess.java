package io.daisyhoist.testkit.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Java process with the class path of the test, whose output goes to a file. Thread-safe. */
final class JavaProcess implements AutoCloseable {
    private final Process process;
    private final Path log;

    private JavaProcess(Process process, Path log) {
        this.process = process;
        this.log = log;
    }

    static JavaProcess start(Path log, String mainClass, String... arguments) {
        return new JavaProcess(start(command(mainClass, arguments), log), log);
    }

    /** Starts a process that may have no more descriptors open. */
    static JavaProcess startWithDescriptors(int maxDescriptors, Path log, String mainClass, String... arguments) {
        List<String> command =
                new ArrayList<>(List.of("bash", "-c", "ulimit -n " + maxDescriptors + "; exec \"$@\"", "--"));
        command.addAll(command(mainClass, arguments));
        return new JavaProcess(start(command, log), log);
    }

    private static List<String> command(String mainClass, String... arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), mainClass));
        command.addAll(List.of(arguments));
        return command;
    }

    /** Sends a signal such as KILL, STOP, CONT or TERM. */
    void signal(String name) {
        Path killLog = log.resolveSibling("kill.log");
        Process kill = start(List.of("kill", "-" + name, Long.toString(process.pid())), killLog);
        if (waitFor(kill, Duration.ofSeconds(5)) != 0) {
            throw new IllegalStateException("signal " + name + " failed for " + log.getFileName());
        }
    }

    /** Waits for the process to exit and returns its exit code. */
    int waitForExit(Duration timeout) {
        return waitFor(process, timeout);
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    String output() {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
        waitFor(process, Duration.ofSeconds(10));
    }

    private static Process start(List<String> command, Path log) {
        try {
            return new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static int waitFor(Process process, Duration timeout) {
        try {
            if (!process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException("process did not end within " + timeout);
            }
            return process.exitValue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }
}
