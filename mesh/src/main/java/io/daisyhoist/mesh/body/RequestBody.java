package io.daisyhoist.mesh.body;

import java.util.Optional;
import java.util.OptionalLong;

import io.vertx.core.buffer.Buffer;

/** Body of a request. */
public sealed interface RequestBody {
    /** Returns a body that is held whole. */
    static RequestBody of(Buffer body) {
        return new Whole(body);
    }

    /**
     * Returns a body whose rest is read when the request is written.
     *
     * @param first first part, which is held so that a request that was refused can be sent to another backend server
     * @param length length of the whole body in bytes; empty if it is sent in chunks
     * @param rest the part that follows
     */
    static RequestBody streamed(Buffer first, OptionalLong length, BodyRest rest) {
        return new Streamed(first, length, Optional.of(rest));
    }

    /** Returns the first part, or the whole body if nothing follows. */
    Buffer first();

    /** Returns the length of the whole body in bytes; empty if it is not known in advance. */
    OptionalLong length();

    /** Returns the part that follows the first one; empty if the body is held whole. */
    Optional<BodyRest> rest();

    /** Returns whether only the first part is held. */
    default boolean isStreamed() {
        return rest().isPresent();
    }

    /** Returns whether a part of the body is no longer held, so that the body cannot be sent again. */
    default boolean isConsumed() {
        return rest().filter(BodyRest::isStarted).isPresent();
    }

    /**
     * Body that is held whole. Immutable.
     *
     * @param first the body
     */
    record Whole(Buffer first) implements RequestBody {
        @Override
        public OptionalLong length() {
            return OptionalLong.of(first.length());
        }

        @Override
        public Optional<BodyRest> rest() {
            return Optional.empty();
        }
    }

    /**
     * Body whose rest is streamed.
     *
     * @param first first part
     * @param length length of the whole body in bytes; empty if it is sent in chunks
     * @param rest the part that follows
     */
    record Streamed(Buffer first, OptionalLong length, Optional<BodyRest> rest) implements RequestBody {}
}
