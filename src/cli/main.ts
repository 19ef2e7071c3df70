#!/usr/bin/env node
/** Command-line entry point of `cicadahitch`. */
import yargs, { type Argv } from "yargs";
import { addAdminCommands } from "../admin/cli.ts";
import { EXIT_FAILED } from "./daemon.ts";
import {
  addFlags,
  describeProblems,
  EXIT_INVALID_SETTINGS,
  type InvalidSettings,
  type SettingSources,
  type SettingTable,
} from "./settings.ts";
import {
  AGENT_SETTINGS,
  DEV_SETTINGS,
  ENTRY_SETTINGS,
  STATE_SETTINGS,
} from "./setting_tables.ts";

const HELP_COLUMNS = 100;
const YARGS_ERROR = "YError";

/** Thrown for an invalid command line. */
class UsageError extends Error {}

/** Reason why a command failed. */
type CommandFailure = InvalidSettings | { kind: string; message: string };

const cli = yargs(process.argv.slice(2))
  .scriptName("cicadahitch")
  .locale("en")
  .parserConfiguration({ "camel-case-expansion": false, "dot-notation": false })
  .usage("$0 <command>")
  .wrap(HELP_COLUMNS)
  .exitProcess(false)
  .fail(throwUsageError);
addCommands(cli);
addAdminCommands(cli);
try {
  await cli.parseAsync();
} catch (error) {
  if (!(error instanceof UsageError)) throw error;
  reportUsageError(error.message);
}

function addCommands(cli: Argv): void {
  cli.command(
    "entry",
    "Take callers' requests, on an entry instance",
    flagsOf(ENTRY_SETTINGS),
    (flags) => run(flags, startEntry),
  );
  cli.command(
    "agent",
    "Run requests, beside a backend server",
    flagsOf(AGENT_SETTINGS),
    (flags) => run(flags, startAgent),
  );
  cli.command(
    "dev",
    "Run all in one process on loopback, with stand-ins and a sample team",
    flagsOf(DEV_SETTINGS),
    (flags) => run(flags, startDev),
  );
  cli.command(
    "state [address]",
    "Dump the state of an entry or agent as JSON",
    flagsOf(STATE_SETTINGS),
    (flags) => run(flags, printState),
  );
  cli.command(
    "explain <id> [logs..]",
    "Tell from the logs of a router's entries what became of a request",
    (argv) =>
      argv.positional("id", {
        type: "string",
        describe: "The client's id of its attempt",
        demandOption: true,
      }).positional("logs", {
        type: "string",
        array: true,
        describe: "Log files; standard input where left out",
        default: [] as string[],
      }),
    ({ id, logs }) => run({}, () => printExplanation(id, logs)),
  );
  cli.command("$0", false, (argv) => argv, ({ _ }) => reportUnknownCommand(_));
}

function flagsOf(table: SettingTable): (argv: Argv) => Argv {
  return (argv) => addFlags(argv, table);
}

async function run(
  flags: Record<string, unknown>,
  command: (sources: SettingSources) => Promise<CommandFailure | undefined>,
): Promise<void> {
  const failure = await command({ flags, variables: process.env });
  if (failure) reportFailure(failure);
  // A graceful shutdown has closed all resources; a remaining handle must not keep Node running.
  process.exit();
}

async function startEntry(
  sources: SettingSources,
): Promise<CommandFailure | undefined> {
  const { serveEntry } = await import("./serve_entry.ts");
  return await serveEntry(sources);
}

async function startAgent(
  sources: SettingSources,
): Promise<CommandFailure | undefined> {
  const { serveAgent } = await import("./serve_agent.ts");
  return await serveAgent(sources);
}

async function startDev(
  sources: SettingSources,
): Promise<CommandFailure | undefined> {
  const { serveDev } = await import("./serve_dev.ts");
  return await serveDev(sources);
}

async function printState(
  sources: SettingSources,
): Promise<CommandFailure | undefined> {
  const { readState } = await import("./state_command.ts");
  const state = await readState(sources);
  if (state.isErr) return state.error;
  process.stdout.write(state.value + "\n");
}

async function printExplanation(
  id: string,
  logs: string[],
): Promise<CommandFailure | undefined> {
  const { explainRequest } = await import("./explain_command.ts");
  const lines = await explainRequest(id, logs);
  if (lines.isErr) return lines.error;
  process.stdout.write(lines.value.join("\n") + "\n");
}

function reportFailure(failure: CommandFailure): void {
  if ("problems" in failure) {
    process.stderr.write(describeProblems(failure) + "\n");
    process.exitCode = EXIT_INVALID_SETTINGS;
    return;
  }
  process.stderr.write(`Failed: ${failure.kind}: ${failure.message}\n`);
  process.exitCode = EXIT_FAILED;
}

function reportUnknownCommand(positionals: (string | number)[]): void {
  reportUsageError(
    positionals.length > 0
      ? `Unknown command ${positionals[0]}`
      : "Missing command",
  );
}

function reportUsageError(message: string): void {
  process.stderr.write(`${message}. See cicadahitch --help.\n`);
  process.exitCode = EXIT_INVALID_SETTINGS;
}

/** yargs calls this for an invalid command line and for every error that a command throws. */
function throwUsageError(message: string, error: Error | undefined): never {
  if (error && error.name !== YARGS_ERROR) throw error;
  throw new UsageError(message);
}
