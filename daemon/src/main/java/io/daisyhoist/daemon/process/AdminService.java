package io.daisyhoist.daemon.process;

import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;

import io.daisyhoist.core.membership.Grant;
import io.daisyhoist.core.membership.GroupSnapshot;
import io.daisyhoist.core.membership.Member;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.routing.RoutingSnapshot;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.process.settings.DaemonSettings;
import io.daisyhoist.daemon.request.AdminHandler;
import io.daisyhoist.daemon.request.Announcement;
import io.vertx.core.Future;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** Serves the admin API from the published snapshots. Thread-safe. */
final class AdminService implements AdminHandler {
    private final DaemonSettings settings;
    private final ProcessId self;
    private final TimeSource time;
    private final ControlPlane controlPlane;
    private final Supplier<Optional<DataPlane>> dataPlane;
    private final Runnable drain;

    AdminService(
            DaemonSettings settings,
            ProcessId self,
            TimeSource time,
            ControlPlane controlPlane,
            Supplier<Optional<DataPlane>> dataPlane,
            Runnable drain) {
        this.settings = settings;
        this.self = self;
        this.time = time;
        this.controlPlane = controlPlane;
        this.dataPlane = dataPlane;
        this.drain = drain;
    }

    @Override
    public Optional<String> unhealthyReason() {
        return Optional.empty();
    }

    @Override
    public Optional<String> notReadyReason() {
        if (dataPlane.get().isEmpty()) {
            return Optional.of("no configuration for service " + settings.service());
        }
        if (dataPlane.get().get().isDraining()) {
            return Optional.of("draining");
        }
        GroupSnapshot group = controlPlane.group();
        if (group.session().isEmpty()) {
            return Optional.of("not a member of the group");
        }
        if (!group.lease().isValid(time)) {
            return Optional.of("no valid lease");
        }
        return Optional.empty();
    }

    @Override
    public Future<JsonObject> status() {
        GroupSnapshot group = controlPlane.group();
        JsonArray members = new JsonArray();
        group.record().members().forEach(member -> members.add(describe(member)));
        JsonArray grants = new JsonArray();
        group.record().grants().forEach(grant -> grants.add(describe(grant)));
        return Future.succeededFuture(new JsonObject()
                .put("daemon", self.daemon().name())
                .put("incarnation", Long.toHexString(self.incarnation()))
                .put("session", group.session().map(session -> session.number()).orElse(0))
                .put("zone", settings.zone().name())
                .put("service", settings.service().name())
                .put("group_version", group.record().version())
                .put("config_version", controlPlane.routing().config().version())
                .put("lease_valid", group.lease().isValid(time))
                .put("members", members)
                .put("grants", grants));
    }

    private static JsonObject describe(Member member) {
        return new JsonObject()
                .put("daemon", member.session().daemon().name())
                .put("zone", member.zone().name())
                .put("service", member.service().name())
                .put("state", member.state().name().toLowerCase(Locale.ROOT));
    }

    private static JsonObject describe(Grant grant) {
        return new JsonObject()
                .put("service", grant.partition().service().name())
                .put("partition", grant.partition().index())
                .put("owner", grant.owner().daemon().name())
                .put("epoch", grant.epoch());
    }

    @Override
    public Future<Optional<JsonObject>> owner(ServiceName service, String key) {
        RoutingSnapshot routing = controlPlane.routing();
        return Future.succeededFuture(
                routing.partitionOf(service, key).map(partition -> describeOwner(routing, partition, key)));
    }

    private static JsonObject describeOwner(RoutingSnapshot routing, PartitionId partition, String key) {
        JsonObject owner = new JsonObject()
                .put("service", partition.service().name())
                .put("key", key)
                .put("partition", partition.index());
        routing.grant(partition)
                .ifPresent(grant ->
                        owner.put("owner", grant.owner().daemon().name()).put("epoch", grant.epoch()));
        routing.owner(partition)
                .ifPresent(member -> owner.put("http", member.http().toString()));
        return owner;
    }

    @Override
    public Future<JsonObject> drain() {
        drain.run();
        return Future.succeededFuture(new JsonObject().put("state", "draining"));
    }

    @Override
    public Future<Void> announce(Announcement announcement) {
        if (!announcement.service().equals(settings.service())) {
            return Future.failedFuture(
                    new IllegalArgumentException("this daemon is configured for service " + settings.service()));
        }
        controlPlane
                .context()
                .controlThread()
                .execute(() -> controlPlane
                        .presence()
                        .onAnnouncement(BackendPresence.State.valueOf(
                                announcement.state().name())));
        dataPlane.get().ifPresent(plane -> plane.onAnnouncement(announcement));
        return Future.succeededFuture();
    }
}
