package io.daisyhoist.core.atmostonce;

import java.time.Instant;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.daisyhoist.core.model.Names;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.ServiceName;

/**
 * Identity of one non-repeatable operation, issued by the owner of a partition and sent with every retry. Immutable.
 *
 * <p>Text form: {@code <service>.<partition>.<epoch>.<issued ms>.<random>}. Only the canonical form is accepted, so
 * that an operation has exactly one text form.
 *
 * @param partition partition whose owner records the operation
 * @param epoch epoch of the owner that issued it
 * @param issuedMillis issue time on that owner's clock, in milliseconds since the Unix epoch
 * @param random 32 hexadecimal digits
 */
public record AttemptToken(PartitionId partition, long epoch, long issuedMillis, String random) {
    private static final Pattern TEXT =
            Pattern.compile("(.{1,64})\\.(0|[1-9]\\d{0,8})\\.(0|[1-9]\\d{0,17})\\.(0|[1-9]\\d{0,17})\\.([0-9a-f]{32})");

    /** Issues a token with a new random part. */
    public static AttemptToken issue(PartitionId partition, long epoch, Instant now, RandomGenerator random) {
        String digits = String.format("%016x%016x", random.nextLong(), random.nextLong());
        return new AttemptToken(partition, epoch, now.toEpochMilli(), digits);
    }

    /** Parses the text form; empty when it is malformed. */
    public static Optional<AttemptToken> parse(String text) {
        Matcher matcher = TEXT.matcher(text);
        if (!matcher.matches() || !Names.isValid(matcher.group(1))) {
            return Optional.empty();
        }
        PartitionId partition = new PartitionId(new ServiceName(matcher.group(1)), Integer.parseInt(matcher.group(2)));
        return Optional.of(new AttemptToken(
                partition, Long.parseLong(matcher.group(3)), Long.parseLong(matcher.group(4)), matcher.group(5)));
    }

    /** Returns the text form. */
    public String format() {
        return partition.service().name() + "." + partition.index() + "." + epoch + "." + issuedMillis + "." + random;
    }

    @Override
    public String toString() {
        return format();
    }
}
