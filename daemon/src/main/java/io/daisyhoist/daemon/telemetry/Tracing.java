package io.daisyhoist.daemon.telemetry;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.TracerProvider;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SdkTracerProviderBuilder;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;

/** OpenTelemetry setup of one process. Thread-safe; must be closed at shutdown so that the last spans are exported. */
public final class Tracing implements AutoCloseable {
    private static final Duration EXPORT_INTERVAL = Duration.ofMillis(500);
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

    private final Optional<SdkTracerProvider> provider;

    /**
     * Sets up tracing.
     *
     * @param daemon name of this daemon, exported with every span as {@code service.instance.id}
     */
    public Tracing(TracingSettings settings, String daemon) {
        if (settings.traceFile().isEmpty() && settings.otlpEndpoint().isEmpty()) {
            provider = Optional.empty();
            return;
        }
        SdkTracerProviderBuilder builder = SdkTracerProvider.builder()
                .setResource(Resource.create(Attributes.of(
                        AttributeKey.stringKey("service.name"),
                        "daisyhoistd",
                        AttributeKey.stringKey("service.instance.id"),
                        daemon)));
        settings.traceFile()
                .ifPresent(file -> builder.addSpanProcessor(batchProcessor(new JsonLinesSpanExporter(file))));
        settings.otlpEndpoint()
                .ifPresent(url -> builder.addSpanProcessor(batchProcessor(
                        OtlpHttpSpanExporter.builder().setEndpoint(url).build())));
        provider = Optional.of(builder.build());
    }

    /** Returns the tracer of request hops. */
    public HopTracer hopTracer() {
        return new HopTracer(provider.<TracerProvider>map(sdk -> sdk).orElse(TracerProvider.noop()));
    }

    @Override
    public void close() {
        provider.ifPresent(sdk -> sdk.shutdown().join(CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS));
    }

    private static BatchSpanProcessor batchProcessor(SpanExporter exporter) {
        return BatchSpanProcessor.builder(exporter)
                .setScheduleDelay(EXPORT_INTERVAL)
                .build();
    }
}
