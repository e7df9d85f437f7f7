package io.daisyhoist.cli.output;

import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.daisyhoist.core.config.ConfigFault;
import io.daisyhoist.core.config.InvalidConfigException;
import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;

/**
 * Output and exit code of a command.
 *
 * @param exitCode exit code of the process, 0 on success
 * @param json machine-readable result
 * @param text human-readable result, terminated by a line break
 */
public record CommandResult(int exitCode, ObjectNode json, String text) {
    /** Creates the result of a successful command. */
    public static CommandResult ok(ObjectNode json, String text) {
        return new CommandResult(0, json, text);
    }

    /** Creates the result of a failed command. */
    public static CommandResult failed(ErrorCode code, ObjectNode json, String text) {
        return new CommandResult(code.exitCode(), json, text);
    }

    /** Creates the result of a command that threw an exception. */
    public static CommandResult of(DaisyhoistException failure) {
        if (failure instanceof InvalidConfigException invalid) {
            return invalid(invalid.faults(), "Invalid configuration.");
        }
        String label = failure.code().name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        ObjectNode json = Json.resultObject(label).put("message", failure.getMessage());
        return failed(failure.code(), json, "Error: " + failure.getMessage() + "\n");
    }

    /** Creates the result for a configuration that failed validation. */
    public static CommandResult invalid(List<ConfigFault> faults, String headline) {
        ObjectNode json = Json.resultObject("invalid-configuration");
        ArrayNode list = json.putArray("faults");
        Table table = new Table("FILE", "KEY", "REASON");
        for (ConfigFault fault : faults) {
            list.addObject().put("file", fault.file()).put("key", fault.key()).put("reason", fault.reason());
            table.addRow(fault.file(), fault.key().isEmpty() ? "-" : fault.key(), fault.reason());
        }
        return failed(ErrorCode.INVALID_CONFIGURATION, json, headline + "\n" + table);
    }
}
