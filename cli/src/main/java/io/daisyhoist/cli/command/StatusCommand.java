package io.daisyhoist.cli.command;

import io.daisyhoist.cli.client.AdminClient;
import io.daisyhoist.cli.client.StatusReport;
import io.daisyhoist.cli.output.CommandResult;
import io.daisyhoist.cli.output.Table;
import net.sourceforge.argparse4j.inf.Namespace;

/** Shows a daemon's view of its group. */
public final class StatusCommand implements Command {
    @Override
    public CommandResult run(Namespace options, CommandContext context) {
        String body = context.admin().status();
        StatusReport report = AdminClient.parse(body, StatusReport.class);
        String text = daemonTable(report) + "\n" + memberTable(report);
        if (options.getBoolean("grants")) {
            text += "\n" + grantTable(report);
        }
        return CommandResult.ok(AdminClient.parse(body), text);
    }

    private static Table daemonTable(StatusReport report) {
        return new Table("DAEMON", "ZONE", "SERVICE", "SESSION", "LEASE", "GROUP VERSION", "CONFIG VERSION")
                .addRow(
                        report.daemon(),
                        report.zone(),
                        report.service(),
                        report.session().orElse("none"),
                        report.leaseValid() ? "valid" : "not valid",
                        report.groupVersion(),
                        report.configVersion());
    }

    private static Table memberTable(StatusReport report) {
        Table table = new Table("MEMBER", "ZONE", "SERVICE", "STATE", "PARTITIONS");
        for (StatusReport.MemberReport member : report.members()) {
            long partitions = report.grants().stream()
                    .filter(grant -> grant.isOwnedBy(member.daemon()))
                    .count();
            table.addRow(member.daemon(), member.zone(), member.service(), member.state(), partitions);
        }
        return table;
    }

    private static Table grantTable(StatusReport report) {
        Table table = new Table("SERVICE", "PARTITION", "OWNER", "EPOCH");
        report.grants()
                .forEach(grant -> table.addRow(grant.service(), grant.partition(), grant.owner(), grant.epoch()));
        return table;
    }
}
