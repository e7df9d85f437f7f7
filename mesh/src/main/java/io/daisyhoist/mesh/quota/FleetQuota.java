package io.daisyhoist.mesh.quota;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.customer.Customer;
import io.daisyhoist.core.customer.CustomerBounds;
import io.daisyhoist.core.customer.CustomerName;
import io.daisyhoist.core.customer.CustomerTable;
import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.quota.QuotaAdmission;
import io.daisyhoist.core.quota.QuotaAsk;
import io.daisyhoist.core.quota.QuotaDecision;
import io.daisyhoist.core.quota.QuotaDemand;
import io.daisyhoist.core.quota.QuotaLender;
import io.daisyhoist.core.quota.QuotaPart;
import io.daisyhoist.core.quota.QuotaPlan;
import io.daisyhoist.core.quota.QuotaShards;
import io.daisyhoist.core.quota.ShardOwnership;
import io.daisyhoist.core.quota.ShardTakeoverCheck;
import io.daisyhoist.core.route.FleetConfig;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.mesh.version.FleetSnapshot;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.QuotaRequest;
import io.vertx.core.Future;
import io.vertx.core.Promise;

/**
 * Quotas of customers at one daemon: connects its admission and its lender with those of other daemons.
 *
 * <p>Without customers that have a quota it sends nothing and computes no shards. Confined to the traffic event loop.
 */
public final class FleetQuota {
    /** Interval of {@link #tick} in milliseconds. */
    public static final long TICK_MILLIS = 40;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final ProcessId self;
    private final Supplier<FleetSnapshot> fleet;
    private final CustomerBounds bounds;
    private final QuotaTransport transport;
    private final QuotaReport report;
    private final QuotaAdmission admission;
    private final QuotaLender lender;
    private final ShardTakeoverCheck claims;
    private Set<DaemonId> shardedMembers = Set.of();
    private CustomerTable checkedCustomers = CustomerTable.EMPTY;
    private boolean quotasConfigured;
    private QuotaShards shards = QuotaShards.EMPTY;

    /**
     * Creates a daemon's part in the quotas without loans.
     *
     * @param fleet newest known state of the fleet
     */
    public FleetQuota(
            ProcessId self,
            TimeSource time,
            CustomerBounds bounds,
            RandomGenerator random,
            Supplier<FleetSnapshot> fleet,
            Standing standing,
            QuotaIo io) {
        this.self = self;
        this.fleet = fleet;
        this.bounds = bounds;
        this.transport = io.transport();
        ShardOwnership tenure = new ShardOwnership(self.daemon(), time, bounds.quotaWindow(), standing.firstProcess());
        this.claims = new ShardTakeoverCheck(self.daemon(), time, tenure);
        this.admission =
                new QuotaAdmission(self.daemon(), time, bounds.quotaWindow(), random, this::shards, this::plan);
        this.lender =
                new QuotaLender(time, bounds.quotaWindow(), tenure, this::shards, standing.registered(), this::plan);
        this.report = new QuotaReport(io.metrics());
    }

    /**
     * What the daemon knows about its own registration. Immutable; the suppliers are thread-safe.
     *
     * @param registered whether no other daemon may have taken this one for lost
     * @param firstProcess whether this daemon certainly has no earlier process whose loans may count
     */
    public record Standing(BooleanSupplier registered, BooleanSupplier firstProcess) {}

    /**
     * Connections of a daemon's quotas with the outside. Immutable.
     *
     * @param transport sends messages to other daemons
     * @param metrics receives counts
     */
    public record QuotaIo(QuotaTransport transport, QuotaReport.Metrics metrics) {}

    /** Decides about a request of a customer. */
    public Future<QuotaDecision> acquire(CustomerName customer) {
        Promise<QuotaDecision> result = Promise.promise();
        admission.acquire(customer, decision -> {
            report.onDecision(customer, decision);
            result.complete(decision);
        });
        sendAsks();
        return result.future();
    }

    /** Records that the quota of a request that has not run was returned. */
    public void onReleased(CustomerName customer) {
        report.onReleased(customer);
    }

    /** Does the periodic work; to be called every {@link #TICK_MILLIS}. */
    public void tick() {
        if (!hasQuotas() && admission.activeCustomers() == 0) {
            return;
        }
        lender.refresh();
        admission.tick();
        sendAsks();
        claims.next(shards()).forEach(this::sendClaim);
    }

    private void sendClaim(ShardTakeoverCheck.Claim claim) {
        Optional<FleetMember> member = Optional.ofNullable(fleet.get().members().get(claim.daemon()));
        member.ifPresent(daemon -> transport
                .call(daemon, QuotaCodec.encode(claim))
                .onFailure(failure -> LOGGER.atInfo().log(
                        "event=quota_claim_failed peer=%s reason=\"%s\"", claim.daemon(), failure.getMessage()))
                .onSuccess(reply -> reply.getQuotaLoan()
                        .getUnusedSeatsList()
                        .forEach(shard -> claims.onUnused(claim.daemon(), shard))));
    }

    /** Writes the lines and metrics of an interval; to be called every {@link QuotaReport#INTERVAL_MILLIS}. */
    public void report() {
        report.flush(lender);
    }

    private void sendAsks() {
        // A reply of the local lender may lead to a demand for another one at once.
        for (List<QuotaAsk> asks = admission.nextAsks(); !asks.isEmpty(); asks = admission.nextAsks()) {
            for (QuotaAsk ask : asks) {
                if (ask.lender().equals(self.daemon())) {
                    admission.onReply(ask.number(), lend(self, ask.number(), ask.demands()));
                } else {
                    send(ask);
                }
            }
        }
    }

    private void send(QuotaAsk ask) {
        Optional<FleetMember> member = Optional.ofNullable(fleet.get().members().get(ask.lender()));
        if (member.isEmpty()) {
            admission.onFailure(ask.number());
            return;
        }
        transport.call(member.get(), QuotaCodec.encode(ask)).onComplete(done -> {
            if (done.succeeded()) {
                onReply(ask, done.result());
            } else {
                LOGGER.atInfo().log(
                        "event=quota_call_failed lender=%s reason=\"%s\"",
                        ask.lender(), done.cause().getMessage());
                admission.onFailure(ask.number());
            }
            sendAsks();
        });
    }

    private void onReply(QuotaAsk ask, Envelope reply) {
        try {
            admission.onReply(ask.number(), QuotaCodec.decode(reply.getQuotaLoan()));
        } catch (IllegalArgumentException e) {
            LOGGER.atWarning().log("event=quota_loan_invalid lender=%s reason=\"%s\"", ask.lender(), e.getMessage());
            admission.onFailure(ask.number());
        }
    }

    /** Lends quota to another daemon and returns the reply; empty if its message is invalid. */
    Optional<Envelope> handle(ProcessId from, QuotaRequest message) {
        try {
            List<QuotaDemand> demands = QuotaCodec.decode(message);
            List<QuotaPart> parts = lend(from, message.getNumber(), demands);
            List<Integer> unusedShards = message.getClaimsList().stream()
                    .filter(claim -> lender.isUnused(claim.getSeat(), from.daemon(), new DaemonId(claim.getRunnerUp())))
                    .map(QuotaRequest.Claim::getSeat)
                    .toList();
            return Optional.of(QuotaCodec.encode(message.getNumber(), parts, unusedShards));
        } catch (IllegalArgumentException e) {
            LOGGER.atWarning().log("event=quota_request_invalid peer=%s reason=\"%s\"", from, e.getMessage());
            return Optional.empty();
        }
    }

    private List<QuotaPart> lend(ProcessId borrower, long number, List<QuotaDemand> demands) {
        return demands.stream()
                .map(demand -> lender.lend(borrower, number, demand))
                .toList();
    }

    private CustomerTable customers() {
        return fleet.get().config().map(FleetConfig::customers).orElse(CustomerTable.EMPTY);
    }

    private boolean hasQuotas() {
        CustomerTable current = customers();
        if (current != checkedCustomers) {
            checkedCustomers = current;
            quotasConfigured = current.customers().stream()
                    .anyMatch(customer -> customer.quota().isPresent());
        }
        return quotasConfigured;
    }

    private Optional<QuotaPlan> plan(CustomerName customer) {
        return customers().find(customer).flatMap(Customer::quota).map(quota -> QuotaPlan.of(quota, bounds));
    }

    private QuotaShards shards() {
        Set<DaemonId> members = fleet.get().members().keySet();
        if (members != shardedMembers && !members.equals(shardedMembers)) {
            shards = new QuotaShards(members);
        }
        shardedMembers = members;
        return shards;
    }
}
