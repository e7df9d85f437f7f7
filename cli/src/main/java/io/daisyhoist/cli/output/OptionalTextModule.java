package io.daisyhoist.cli.output;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;

/** Deserializes nullable or absent text as {@link Optional}, without a dependency on Jackson's module for it. */
final class OptionalTextModule extends SimpleModule {
    private static final long serialVersionUID = 1L;

    OptionalTextModule() {
        addDeserializer(Optional.class, new OptionalText());
    }

    private static final class OptionalText extends StdDeserializer<Optional<?>> {
        private static final long serialVersionUID = 1L;

        OptionalText() {
            super(Optional.class);
        }

        @Override
        public Optional<?> deserialize(JsonParser parser, DeserializationContext context) throws IOException {
            return Optional.ofNullable(parser.getValueAsString());
        }

        @Override
        public Optional<?> getNullValue(DeserializationContext context) {
            return Optional.empty();
        }
    }
}
