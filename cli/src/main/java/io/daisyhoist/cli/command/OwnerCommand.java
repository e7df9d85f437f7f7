package io.daisyhoist.cli.command;

import io.daisyhoist.cli.client.AdminClient;
import io.daisyhoist.cli.client.OwnerReport;
import io.daisyhoist.cli.output.CommandResult;
import io.daisyhoist.cli.output.Table;
import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;
import net.sourceforge.argparse4j.inf.Namespace;

/** Shows the owner of a key. */
public final class OwnerCommand implements Command {
    @Override
    public CommandResult run(Namespace options, CommandContext context) {
        String service = options.getString("service");
        String key = options.getString("key");
        String body = context.admin()
                .owner(service, key)
                .orElseThrow(() -> notFound("the daemon knows no owner of key " + key + " of service " + service));
        OwnerReport report = AdminClient.parse(body, OwnerReport.class);
        String owner = report.owner()
                .orElseThrow(
                        () -> notFound("partition " + report.partition() + " of service " + service + " has no owner"));
        Table table = new Table("SERVICE", "KEY", "PARTITION", "OWNER", "EPOCH", "HTTP")
                .addRow(
                        service,
                        key,
                        report.partition(),
                        owner,
                        report.epoch(),
                        report.http().orElse("-"));
        return CommandResult.ok(AdminClient.parse(body), table.toString());
    }

    private static DaisyhoistException notFound(String message) {
        return new DaisyhoistException(ErrorCode.NOT_FOUND, message);
    }
}
