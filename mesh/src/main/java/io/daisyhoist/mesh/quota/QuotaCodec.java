package io.daisyhoist.mesh.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.daisyhoist.core.customer.CustomerName;
import io.daisyhoist.core.quota.QuotaAsk;
import io.daisyhoist.core.quota.QuotaDemand;
import io.daisyhoist.core.quota.QuotaPart;
import io.daisyhoist.core.quota.ShardTakeoverCheck;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.QuotaLoan;
import io.daisyhoist.wire.proto.QuotaRequest;

/** Translates quota messages. Stateless. */
final class QuotaCodec {
    /** A loan of a longer validity than any lender gives is not used. */
    private static final long MAX_VALID_MILLIS = 10_000;

    private QuotaCodec() {}

    static Envelope encode(QuotaAsk ask) {
        QuotaRequest.Builder message = QuotaRequest.newBuilder().setNumber(ask.number());
        for (QuotaDemand demand : ask.demands()) {
            QuotaRequest.Demand.Builder encoded = QuotaRequest.Demand.newBuilder()
                    .setCustomer(demand.customer().name())
                    .setWanted(demand.wanted())
                    .setUsed(demand.used());
            demand.returns()
                    .forEach(part -> encoded.addReturns(QuotaRequest.Return.newBuilder()
                            .setNumber(part.number())
                            .setRequests(part.requests())));
            message.addDemands(encoded);
        }
        return Envelope.newBuilder().setQuotaRequest(message).build();
    }

    static Envelope encode(ShardTakeoverCheck.Claim claim) {
        QuotaRequest.Builder message = QuotaRequest.newBuilder();
        claim.nextOwners()
                .forEach((shard, runnerUp) -> message.addClaims(
                        QuotaRequest.Claim.newBuilder().setSeat(shard).setRunnerUp(runnerUp.name())));
        return Envelope.newBuilder().setQuotaRequest(message).build();
    }

    /**
     * Decodes demands.
     *
     * @throws IllegalArgumentException if a name or number is invalid
     */
    static List<QuotaDemand> decode(QuotaRequest message) {
        List<QuotaDemand> demands = new ArrayList<>(message.getDemandsCount());
        for (QuotaRequest.Demand demand : message.getDemandsList()) {
            List<QuotaDemand.Return> returns = demand.getReturnsList().stream()
                    .map(part -> new QuotaDemand.Return(part.getNumber(), part.getRequests()))
                    .toList();
            demands.add(new QuotaDemand(
                    new CustomerName(demand.getCustomer()), demand.getWanted(), demand.getUsed(), returns));
        }
        return demands;
    }

    /**
     * Encodes the reply to a message.
     *
     * @param unusedShards claimed shards from which the sender has no loans that count
     */
    static Envelope encode(long number, List<QuotaPart> parts, List<Integer> unusedShards) {
        QuotaLoan.Builder message = QuotaLoan.newBuilder().setNumber(number);
        for (QuotaPart part : parts) {
            message.addParts(QuotaLoan.Part.newBuilder()
                    .setCustomer(part.customer().name())
                    .setRequests(part.requests())
                    .setValidMs((int) part.validity().toMillis())
                    .setMoreAfterMs((int) part.moreAfter().toMillis()));
        }
        message.addAllUnusedSeats(unusedShards);
        return Envelope.newBuilder().setQuotaLoan(message).build();
    }

    /**
     * Decodes loans.
     *
     * @throws IllegalArgumentException if a name or number is invalid
     */
    static List<QuotaPart> decode(QuotaLoan message) {
        List<QuotaPart> parts = new ArrayList<>(message.getPartsCount());
        for (QuotaLoan.Part part : message.getPartsList()) {
            long validMillis = Integer.toUnsignedLong(part.getValidMs());
            long moreAfterMillis = Integer.toUnsignedLong(part.getMoreAfterMs());
            if (validMillis > MAX_VALID_MILLIS || moreAfterMillis > MAX_VALID_MILLIS) {
                throw new IllegalArgumentException(
                        "loan valid for " + validMillis + " ms, more after " + moreAfterMillis + " ms");
            }
            parts.add(new QuotaPart(
                    new CustomerName(part.getCustomer()),
                    part.getRequests(),
                    Duration.ofMillis(validMillis),
                    Duration.ofMillis(moreAfterMillis)));
        }
        return parts;
    }
}
