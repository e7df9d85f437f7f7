package io.daisyhoist.daemon.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.daisyhoist.core.admission.Rank;
import io.daisyhoist.core.config.ServiceSettings;
import io.daisyhoist.core.error.Refusal;
import io.daisyhoist.core.error.RefusalCode;
import io.daisyhoist.core.error.RunState;
import io.daisyhoist.core.membership.Member;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.retry.RetryPolicy;
import io.daisyhoist.core.routing.RoutingSnapshot;
import io.daisyhoist.core.time.Deadline;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;

/**
 * Edge side of the request pipeline: selects the daemon that may run a request, sends the request to it, and retries if
 * a retry is safe.
 *
 * <p>Invariants: a non-repeatable request is sent again only if it certainly did not run; all sends of a request lie
 * within its deadline. Its state is confined to the traffic event loop; its methods may be called from any thread.
 */
public final class RequestRouter implements RequestHandler {
    private final TrafficContext traffic;
    private final OwnerService ownerService;
    private final RequestForwarder forwarder;
    private final KeylessLoadBalancer keylessBalancer;
    private final RequestHedger hedger;
    private final Map<ServiceName, RetryPolicy> retryPolicies = new HashMap<>();

    RequestRouter(
            TrafficContext traffic,
            OwnerService ownerService,
            RequestForwarder forwarder,
            KeylessLoadBalancer keylessBalancer,
            RequestHedger hedger) {
        this.traffic = traffic;
        this.ownerService = ownerService;
        this.forwarder = forwarder;
        this.keylessBalancer = keylessBalancer;
        this.hedger = hedger;
    }

    /** Sends a request once. */
    private interface SendOperation {
        Future<OutboundResponse> start();
    }

    @Override
    public Future<OutboundResponse> handle(InboundRequest request, Future<Void> cancelled) {
        return runOnEventLoop(() -> route(request, cancelled));
    }

    @Override
    public Future<OutboundResponse> issueToken(ServiceName service, Optional<String> key, Deadline deadline) {
        InboundRequest request = new InboundRequest(
                service,
                key,
                "POST",
                "/s/" + service + "/attempt-token",
                List.of(),
                Buffer.buffer(),
                Rank.NORMAL,
                deadline,
                Optional.empty(),
                Optional.empty());
        Future<Void> neverCancelled = Promise.<Void>promise().future();
        return runOnEventLoop(() -> {
            Optional<PartitionId> partition = partitionOf(request);
            if (partition.isEmpty()) {
                return unknownService(request);
            }
            return sendWithRetries(
                    request, true, neverCancelled, () -> sendToOwner(request, partition.get(), true, neverCancelled));
        });
    }

    private Future<OutboundResponse> runOnEventLoop(SendOperation sendOperation) {
        Promise<OutboundResponse> result = Promise.promise();
        traffic.execute(() -> sendOperation.start().onComplete(result));
        return result.future();
    }

    private Future<OutboundResponse> route(InboundRequest request, Future<Void> cancelled) {
        Optional<ServiceSettings> settings = traffic.routing().get().config().service(request.service());
        if (settings.isEmpty()) {
            return unknownService(request);
        }
        boolean repeatable = settings.get().isRepeatable(request.method());
        if (repeatable && request.key().isEmpty()) {
            Set<DaemonId> triedDaemons = new HashSet<>();
            return sendWithRetries(
                    request,
                    true,
                    cancelled,
                    () -> hedger.run(
                            request.service(),
                            cancelled,
                            copyCancelled -> sendKeyless(request, triedDaemons, copyCancelled)));
        }
        Optional<PartitionId> partition = partitionOf(request);
        if (partition.isEmpty()) {
            return unknownService(request);
        }
        if (!repeatable && isTokenOfAnotherKey(request, partition.get())) {
            return Future.succeededFuture(
                    Refusals.notRun(RefusalCode.BAD_REQUEST, "the attempt token belongs to another key"));
        }
        return sendWithRetries(
                request, repeatable, cancelled, () -> sendToOwner(request, partition.get(), false, cancelled));
    }

    private boolean isTokenOfAnotherKey(InboundRequest request, PartitionId partition) {
        return request.attemptToken()
                .filter(token -> !token.partition().equals(partition))
                .isPresent();
    }

    /** Returns the partition of the key, otherwise that of the token, otherwise a random one of the service. */
    private Optional<PartitionId> partitionOf(InboundRequest request) {
        RoutingSnapshot routing = traffic.routing().get();
        if (request.key().isPresent()) {
            return routing.partitionOf(request.service(), request.key().get());
        }
        int partitions = routing.config()
                .service(request.service())
                .map(ServiceSettings::partitions)
                .orElse(0);
        if (request.attemptToken().isPresent()) {
            return request.attemptToken()
                    .map(token -> token.partition())
                    .filter(partition -> partition.index() < partitions);
        }
        return partitions < 1
                ? Optional.empty()
                : Optional.of(
                        new PartitionId(request.service(), traffic.random().nextInt(partitions)));
    }

    private static Future<OutboundResponse> unknownService(InboundRequest request) {
        return Future.succeededFuture(Refusals.notRun(
                RefusalCode.UNKNOWN_SERVICE, "no such service, or it has no partitions: " + request.service()));
    }

    private Future<OutboundResponse> sendToOwner(
            InboundRequest request, PartitionId partition, boolean tokenOnly, Future<Void> cancelled) {
        RoutingSnapshot routing = traffic.routing().get();
        if (!routing.hasQuorumSize()) {
            return Future.succeededFuture(
                    Refusals.notRun(RefusalCode.NO_QUORUM, "the group has too few members for exclusive ownership"));
        }
        Optional<Member> owner = routing.owner(partition);
        if (owner.isEmpty()) {
            return Future.succeededFuture(Refusals.notRun(RefusalCode.NO_OWNER, "no owner is known for " + partition));
        }
        if (!isSelf(owner.get())) {
            return forwarder.forward(owner.get(), request, Optional.of(partition), tokenOnly, cancelled);
        }
        return tokenOnly
                ? ownerService.issueToken(request, partition)
                : ownerService.serve(request, partition, cancelled);
    }

    private Future<OutboundResponse> sendKeyless(
            InboundRequest request, Set<DaemonId> triedDaemons, Future<Void> copyCancelled) {
        Optional<Member> selected = keylessBalancer.select(traffic.routing().get(), request.service(), triedDaemons);
        if (selected.isEmpty()) {
            return Future.succeededFuture(
                    Refusals.notRun(RefusalCode.NO_OWNER, "no backend server of " + request.service() + " is active"));
        }
        DaemonId daemon = selected.get().session().daemon();
        triedDaemons.add(daemon);
        keylessBalancer.requestStarted(daemon);
        Future<OutboundResponse> result = isSelf(selected.get())
                ? ownerService.serveKeyless(request, copyCancelled)
                : forwarder.forward(selected.get(), request, Optional.empty(), false, copyCancelled);
        return result.onComplete(done -> keylessBalancer.requestEnded(daemon));
    }

    private boolean isSelf(Member member) {
        return member.session().process().equals(traffic.self());
    }

    private Future<OutboundResponse> sendWithRetries(
            InboundRequest request, boolean repeatable, Future<Void> cancelled, SendOperation sendOperation) {
        RetryPolicy policy = retryPolicies.computeIfAbsent(
                request.service(), any -> RetryPolicy.standard(traffic.time(), traffic.random()));
        policy.onRequest();
        RetrySequence sequence = new RetrySequence(request, repeatable, cancelled, sendOperation, policy);
        sequence.send(0);
        return sequence.result.future();
    }

    /** Consecutive sends of one request, until one succeeds or no retry is allowed. */
    private final class RetrySequence {
        private final InboundRequest request;
        private final boolean repeatable;
        private final Future<Void> cancelled;
        private final SendOperation sendOperation;
        private final RetryPolicy policy;
        private final Promise<OutboundResponse> result = Promise.promise();
        private RunState earlierRunState = RunState.NOT_RUN;

        RetrySequence(
                InboundRequest request,
                boolean repeatable,
                Future<Void> cancelled,
                SendOperation sendOperation,
                RetryPolicy policy) {
            this.request = request;
            this.repeatable = repeatable;
            this.cancelled = cancelled;
            this.sendOperation = sendOperation;
            this.policy = policy;
        }

        void send(int retryCount) {
            sendOperation.start().onSuccess(response -> {
                Optional<Duration> delay = response.refusal().flatMap(refusal -> retryDelay(refusal, retryCount));
                if (delay.isEmpty()) {
                    result.complete(response.afterEarlierCopies(earlierRunState));
                    return;
                }
                earlierRunState = response.run().combineWithEarlierCopies(earlierRunState);
                traffic.metrics()
                        .onRetry(request.service(), response.refusal().get().code());
                traffic.schedule(delay.get().toMillis(), () -> send(retryCount + 1));
            });
        }

        private Optional<Duration> retryDelay(Refusal refusal, int retryCount) {
            if (cancelled.isComplete()) {
                return Optional.empty();
            }
            Duration remaining = request.deadline().remaining(traffic.time());
            return policy.nextRetry(refusal, repeatable, retryCount, remaining);
        }
    }
}
