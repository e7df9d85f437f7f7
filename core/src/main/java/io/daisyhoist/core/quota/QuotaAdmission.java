package io.daisyhoist.core.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.daisyhoist.core.customer.CustomerName;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.quota.QuotaDecision.Admitted;
import io.daisyhoist.core.quota.QuotaDecision.Reason;
import io.daisyhoist.core.quota.QuotaDecision.Refused;
import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;

/**
 * Decides at the daemon that received a request whether the quota of its customer admits it.
 *
 * <p>Invariants: a request is admitted only by a loan that has not lapsed on this daemon's clock, or if its customer has no
 * quota; each request gets one decision, within {@link #MAX_WAIT} and the interval of {@link #tick}. A request is decided at
 * once if this daemon has a loan or knows that the lenders have none; otherwise it waits for a reply. Callbacks may run within
 * any method. Memory is bounded by the number of configured customers. Confined to one thread.
 */
public final class QuotaAdmission {
    /** Longest time for which a request waits for a loan. */
    public static final Duration MAX_WAIT = Duration.ofMillis(600);

    /** Time after which another lender is asked; a late reply is still used. */
    private static final Duration REPLY_TIME = Duration.ofMillis(120);

    /** Time for which a lender that did not reply is not asked. */
    private static final Duration UNREACHABLE_AVOIDANCE = Duration.ofMillis(700);

    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);
    private static final int MAX_WAITERS = 256;

    private final DaemonId self;
    private final TimeSource time;
    private final RandomGenerator random;
    private final Supplier<QuotaShards> shards;
    private final Function<CustomerName, Optional<QuotaPlan>> plans;
    private final PendingReturns returns;
    private final Map<CustomerName, CustomerLoans> customers = new LinkedHashMap<>();
    private final Map<Long, Asked> asked = new HashMap<>();
    private final Map<DaemonId, Long> avoidedUntilNanos = new HashMap<>();
    private final Set<CustomerName> inNeed = new HashSet<>();
    private long lastNumber;

    /** A message without a reply so far, with the shard that was asked for each customer. */
    private record Asked(QuotaAsk ask, ElapsedTimer sentAt, Map<CustomerName, Integer> indexes) {}

    /**
     * Creates an admission without loans.
     *
     * @param window sliding window in which the requests of a customer are counted
     * @param random spreads the return of refused clients
     * @param shards holders of the shards according to the members that this daemon knows
     * @param plans division of the quota of a customer; empty for customers without a quota
     */
    public QuotaAdmission(
            DaemonId self,
            TimeSource time,
            Duration window,
            RandomGenerator random,
            Supplier<QuotaShards> shards,
            Function<CustomerName, Optional<QuotaPlan>> plans) {
        this.self = self;
        this.time = time;
        this.random = random;
        this.shards = shards;
        this.plans = plans;
        this.returns = new PendingReturns(time, window);
    }

    /** Decides about a request of a customer, at once or when a lender has replied. */
    public void acquire(CustomerName customer, Consumer<QuotaDecision> decision) {
        Optional<QuotaPlan> plan = plans.apply(customer);
        if (plan.isEmpty()) {
            decision.accept(new Admitted(QuotaPermit.UNLIMITED));
            return;
        }
        CustomerLoans loans = customers.computeIfAbsent(
                customer, any -> new CustomerLoans(customer, self, plan.get(), time, returns));
        loans.onPlan(plan.get(), lastNumber + 1);
        loans.recordDemand();
        if (loans.waiters().size() >= MAX_WAITERS) {
            decision.accept(refusal(loans));
            return;
        }
        loans.waiters().add(new CustomerLoans.Waiter(decision, time.monotonicNanos()));
        serve(loans);
    }

    /** Admits the waiting requests for which there are loans; refuses the others if nobody can be asked. */
    private void serve(CustomerLoans loans) {
        while (!loans.waiters().isEmpty()) {
            Optional<QuotaPermit> permit = loans.take();
            if (permit.isEmpty()) {
                break;
            }
            loans.waiters().poll().decision().accept(new Admitted(permit.get()));
        }
        if (loans.isAsking()) {
            return;
        }
        if (usableIndex(loans).isEmpty()) {
            refuseAll(loans);
        } else if (loans.needsLoan()) {
            inNeed.add(loans.customer());
        }
    }

    private void refuseAll(CustomerLoans loans) {
        while (!loans.waiters().isEmpty()) {
            loans.waiters().poll().decision().accept(refusal(loans));
        }
    }

    private Refused refusal(CustomerLoans loans) {
        Duration untilShard = loans.timeUntilShard();
        Duration base = untilShard.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : untilShard;
        Duration spread = Duration.ofNanos((long) (base.toNanos() * random.nextDouble()));
        return new Refused(loans.hasLenderRefused() ? Reason.OVER_QUOTA : Reason.NO_LENDER, base.plus(spread));
    }

    private OptionalInt usableIndex(CustomerLoans loans) {
        QuotaShards current = shards.get();
        return loans.nextIndex(
                shard -> current.holder(shard).filter(this::isUsable).isPresent());
    }

    private boolean isUsable(DaemonId lender) {
        Long until = avoidedUntilNanos.get(lender);
        return until == null || until - time.monotonicNanos() <= 0;
    }

    /** Returns the messages to send now; each of them ends with {@link #onReply} or {@link #onFailure}. */
    public List<QuotaAsk> nextAsks() {
        Map<DaemonId, List<CustomerLoans>> inNeedByLender = new LinkedHashMap<>();
        Map<CustomerName, Integer> indexes = new HashMap<>();
        List<CustomerLoans> withoutLender = new ArrayList<>();
        for (CustomerName customer : List.copyOf(inNeed)) {
            CustomerLoans loans = customers.get(customer);
            if (loans != null && loans.needsLoan()) {
                OptionalInt usable = usableIndex(loans);
                if (usable.isEmpty()) {
                    withoutLender.add(loans);
                }
                usable.ifPresent(index -> {
                    indexes.put(customer, index);
                    shards.get()
                            .holder(QuotaShards.shardOf(customer, index))
                            .ifPresent(lender -> inNeedByLender
                                    .computeIfAbsent(lender, any -> new ArrayList<>())
                                    .add(loans));
                });
            }
        }
        inNeed.clear();
        // Their lender has failed since they asked; requests that wait are refused now.
        withoutLender.forEach(this::serve);
        for (DaemonId lender : returns.overdueLenders()) {
            inNeedByLender.computeIfAbsent(lender, any -> new ArrayList<>());
        }
        List<QuotaAsk> asks = new ArrayList<>();
        inNeedByLender.forEach((lender, ofLender) -> asks.add(createAsk(lender, ofLender, indexes)));
        return asks;
    }

    private QuotaAsk createAsk(
            DaemonId lender, List<CustomerLoans> inNeedOfLender, Map<CustomerName, Integer> indexes) {
        long number = ++lastNumber;
        Map<CustomerName, List<QuotaDemand.Return>> returned = returns.take(lender);
        List<QuotaDemand> demands = new ArrayList<>();
        Map<CustomerName, Integer> askedIndexes = new HashMap<>();
        for (CustomerLoans loans : inNeedOfLender) {
            CustomerName customer = loans.customer();
            List<QuotaDemand.Return> parts =
                    Optional.ofNullable(returned.remove(customer)).orElse(List.of());
            demands.add(new QuotaDemand(customer, loans.wanted(), loans.unreportedUse(), parts));
            loans.onAsked(number);
            askedIndexes.put(customer, indexes.get(customer));
        }
        returned.forEach((customer, parts) -> demands.add(new QuotaDemand(customer, 0, 0, parts)));
        QuotaAsk ask = new QuotaAsk(lender, number, demands);
        asked.put(number, new Asked(ask, ElapsedTimer.start(time), askedIndexes));
        return ask;
    }

    /** Handles the reply of a lender. */
    public void onReply(long number, List<QuotaPart> parts) {
        Asked reply = asked.remove(number);
        if (reply == null) {
            return;
        }
        Map<CustomerName, Integer> unanswered = new HashMap<>(reply.indexes());
        for (QuotaPart part : parts) {
            Integer index = unanswered.remove(part.customer());
            CustomerLoans loans = customers.get(part.customer());
            if (index != null && loans != null) {
                onPart(loans, part, index, reply);
            }
        }
        unanswered.forEach((customer, index) -> endAsk(customer, index, number));
    }

    private void onPart(CustomerLoans loans, QuotaPart part, int index, Asked reply) {
        if (part.requests() > 0) {
            BorrowedLoan loan = new BorrowedLoan(
                    reply.ask().lender(), reply.ask().number(), reply.sentAt(), part.validity(), part.requests());
            loans.addLoan(loan, part.validity());
        }
        if (part.requests() == 0) {
            loans.onRefused(index, part.moreAfter());
        } else if (!part.moreAfter().isZero()) {
            loans.postpone(index, part.moreAfter());
        }
        loans.onAskEnded(reply.ask().number());
        serve(loans);
    }

    /** Handles that a message was not replied to. */
    public void onFailure(long number) {
        Asked failed = asked.remove(number);
        if (failed != null) {
            abandon(failed);
        }
    }

    private void abandon(Asked late) {
        avoidedUntilNanos.put(late.ask().lender(), time.monotonicNanos() + UNREACHABLE_AVOIDANCE.toNanos());
        late.indexes()
                .forEach((customer, index) -> endAsk(customer, index, late.ask().number()));
    }

    private void endAsk(CustomerName customer, int index, long number) {
        CustomerLoans loans = customers.get(customer);
        if (loans != null) {
            loans.postpone(index, UNREACHABLE_AVOIDANCE);
            loans.onAskEnded(number);
            serve(loans);
        }
    }

    /** Asks other lenders in place of late ones, and refuses requests that have waited for too long. */
    public void tick() {
        long now = time.monotonicNanos();
        for (Asked message : List.copyOf(asked.values())) {
            boolean late = message.sentAt().elapsed(time).compareTo(REPLY_TIME) >= 0;
            if (late && isPending(message)) {
                abandon(message);
            }
        }
        avoidedUntilNanos.values().removeIf(until -> until - now <= 0);
        for (CustomerLoans loans : List.copyOf(customers.values())) {
            refuseExpired(loans, now);
            if (loans.isIdle()) {
                customers.remove(loans.customer());
            }
        }
    }

    private boolean isPending(Asked message) {
        return message.indexes().keySet().stream()
                .map(customers::get)
                .anyMatch(
                        loans -> loans != null && loans.isAskingBy(message.ask().number()));
    }

    private void refuseExpired(CustomerLoans loans, long now) {
        while (!loans.waiters().isEmpty() && now - loans.waiters().peek().sinceNanos() >= MAX_WAIT.toNanos()) {
            loans.waiters().poll().decision().accept(refusal(loans));
        }
    }

    /** Returns the number of customers with recent demand. */
    public int activeCustomers() {
        return customers.size();
    }
}
