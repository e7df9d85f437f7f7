package io.daisyhoist.testkit.load;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** Writes one JSON line per request for the execution check. Confined to one thread. */
final class OutcomeWriter implements AutoCloseable {
    private final Optional<BufferedWriter> writer;

    OutcomeWriter(Optional<Path> file) {
        writer = file.map(OutcomeWriter::openWriter);
    }

    void write(
            LoadRequest request,
            String token,
            List<SendResult> sends,
            List<Long> sentMicros,
            long intendedMicros,
            long endMicros) {
        if (writer.isEmpty()) {
            return;
        }
        JsonArray results = new JsonArray();
        for (int i = 0; i < sends.size(); i++) {
            SendResult send = sends.get(i);
            results.add(new JsonObject()
                    .put("id", send.sendId())
                    .put("sent_us", sentMicros.get(i))
                    .put("kind", send.kind().name())
                    .put("code", send.code())
                    .put("run", send.runState()));
        }
        JsonObject line = new JsonObject()
                .put("id", request.id())
                .put("method", request.method())
                .put("service", request.service())
                .put("key", request.key())
                .put("token", token)
                .put("intended_us", intendedMicros)
                .put("end_us", endMicros)
                .put("sends", results);
        try {
            writer.get().write(line.encode());
            writer.get().newLine();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        writer.ifPresent(open -> {
            try {
                open.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    private static BufferedWriter openWriter(Path file) {
        try {
            return Files.newBufferedWriter(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
