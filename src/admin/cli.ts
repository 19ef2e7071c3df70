/** The commands of `cicadahitch admin`, which call the administration API. */
import { readFile } from "node:fs/promises";
import { text } from "node:stream/consumers";
import { Result } from "true-myth";
import type { Argv, Options } from "yargs";
import { AdminClient, type AdminClientFailure } from "./client.ts";

/** Exit statuses of the commands. */
export const ADMIN_EXIT = {
  Done: 0,
  Refused: 1,
  WrongUsage: 2,
  /** The outcome is unknown: a write may have taken effect. */
  Unknown: 3,
} as const;
/** One of {@link ADMIN_EXIT}. */
export type AdminExit = (typeof ADMIN_EXIT)[keyof typeof ADMIN_EXIT];

/** Input, output and environment of the commands. */
export interface AdminIo {
  /** Writes a result. */
  write(line: string): void;
  /** Writes a failure. */
  writeError(line: string): void;
  setExitStatus(status: AdminExit): void;
  /** Reads a file, or standard input for `-`. */
  readInput(path: string): Promise<string>;
  environment: Record<string, string | undefined>;
}

type Flags = Record<string, unknown>;
type CommandResult = Promise<
  Result<unknown, AdminClientFailure | UsageFailure>
>;

/** A command line with missing or invalid arguments. */
interface UsageFailure {
  kind: "usage";
  message: string;
}

interface AdminCommand {
  command: string;
  describe: string;
  flags?: Record<string, Options>;
  run(client: AdminClient, flags: Flags, io: AdminIo): CommandResult;
}

/** Positional arguments not converted to numbers, since 007 is a valid team name. */
const STRING_POSITIONALS = ["team", "workspace", "path", "value"];
const VERSION_OPTION: Options = {
  type: "number",
  describe: "Version of the branch",
};
const IF_MATCH_OPTION: Options = {
  type: "number",
  describe: "The version that is changed, as shown before",
};
const REQUIRED_IF_MATCH_OPTION: Options = {
  ...IF_MATCH_OPTION,
  demandOption: true,
};
const FILE_OPTION: Options = {
  type: "string",
  default: "-",
  describe: "File with the branch as JSON; - is standard input",
};
const CONNECTION_OPTIONS: Record<string, Options> = {
  "admin-url": {
    type: "string",
    describe: "URL of an administration API, or CICADAHITCH_ADMIN_URL",
  },
  "admin-key": {
    type: "string",
    describe: "Its bearer key; better in CICADAHITCH_ADMIN_KEY",
  },
  writer: {
    type: "string",
    describe: "Who writes, for the history, or CICADAHITCH_ADMIN_WRITER",
  },
};

const COMMANDS: AdminCommand[] = [
  {
    command: "list",
    describe: "List the teams",
    run: (client) => client.list(),
  },
  {
    command: "create <team>",
    describe: "Create a team",
    flags: { file: FILE_OPTION },
    run: (client, flags, io) =>
      withBranchFile(
        flags,
        io,
        (branch) => client.create(teamName(flags), branch),
      ),
  },
  {
    command: "show <team>",
    describe: "Show a branch, now or at a kept version",
    flags: { version: VERSION_OPTION },
    run: (client, flags) =>
      client.show(teamName(flags), integerFlag(flags, "version")),
  },
  {
    command: "validate <team>",
    describe: "Check a branch without writing it",
    flags: { file: FILE_OPTION },
    run: (client, flags, io) =>
      withBranchFile(
        flags,
        io,
        (branch) => client.validate(teamName(flags), branch),
      ),
  },
  {
    command: "replace <team>",
    describe: "Replace a branch",
    flags: { file: FILE_OPTION, "if-match": REQUIRED_IF_MATCH_OPTION },
    run: (client, flags, io) =>
      withBranchFile(
        flags,
        io,
        (branch) =>
          client.replace(teamName(flags), branch, Number(flags["if-match"])),
      ),
  },
  {
    command: "patch <team> <path> [value]",
    describe: "Set one place of a branch to a JSON value, or remove it",
    flags: {
      "if-match": IF_MATCH_OPTION,
      remove: { type: "boolean", describe: "Remove what is there" },
    },
    run: (client, flags) => patch(client, flags),
  },
  {
    command: "delete <team>",
    describe: "Delete a team",
    flags: { "if-match": REQUIRED_IF_MATCH_OPTION },
    run: (client, flags) =>
      client.delete(teamName(flags), Number(flags["if-match"])),
  },
  {
    command: "history <team>",
    describe: "Show the kept versions",
    run: (client, flags) => client.history(teamName(flags)),
  },
  {
    command: "roll-forward <team> <version>",
    describe: "Write the content of an earlier version as a new one",
    flags: { "if-match": IF_MATCH_OPTION },
    run: (client, flags) =>
      client.rollForward(
        teamName(flags),
        Number(flags.version),
        integerFlag(flags, "if-match"),
      ),
  },
  {
    command: "in-force <team>",
    describe: "Show which entries have a version in force",
    flags: {
      version: VERSION_OPTION,
      "wait-ms": {
        type: "number",
        default: 0,
        describe: "How long to wait until all have it",
      },
    },
    run: (client, flags) =>
      client.inForce(
        teamName(flags),
        Number(flags["wait-ms"]),
        integerFlag(flags, "version"),
      ),
  },
  {
    command: "new-key <team> <workspace>",
    describe: "Make a caller key; it is shown this once",
    run: (client, flags) =>
      client.issueKey(teamName(flags), String(flags.workspace)),
  },
];

/**
 * Adds the `admin` command with its subcommands.
 *
 * @param cli The command line.
 * @param io Input and output, by default those of the process.
 * @returns The same command line.
 */
export function addAdminCommands(
  cli: Argv,
  io: AdminIo = createProcessIo(),
): Argv {
  return cli.command("admin", "Change and show teams", (argv) => {
    argv.options(CONNECTION_OPTIONS);
    for (const { command, describe, flags = {}, run } of COMMANDS) {
      argv.command(
        command,
        describe,
        (sub) => sub.version(false).options(flags).string(STRING_POSITIONALS),
        (parsedFlags) => runCommand(run, parsedFlags, io),
      );
    }
    return argv.demandCommand(1, "Expected a command, such as list")
      .strictCommands();
  });
}

async function runCommand(
  run: AdminCommand["run"],
  flags: Flags,
  io: AdminIo,
): Promise<void> {
  const { environment } = io;
  const url = flags["admin-url"] ?? environment.CICADAHITCH_ADMIN_URL;
  const key = flags["admin-key"] ?? environment.CICADAHITCH_ADMIN_KEY;
  const writer = flags.writer ?? environment.CICADAHITCH_ADMIN_WRITER ??
    environment.USER ?? "";
  if (!url || !key || !URL.canParse(String(url))) {
    return report(io, usageFailure("Expected --admin-url and --admin-key"));
  }
  const client = AdminClient.create({
    url: String(url),
    key: String(key),
    writer: String(writer),
  });
  try {
    report(io, await run(client, flags, io));
  } finally {
    await client.close();
  }
}

function report(
  io: AdminIo,
  outcome: Result<unknown, AdminClientFailure | UsageFailure>,
): void {
  if (outcome.isOk) {
    io.write(JSON.stringify(outcome.value, null, 2));
    return io.setExitStatus(
      isNegativeResult(outcome.value) ? ADMIN_EXIT.Refused : ADMIN_EXIT.Done,
    );
  }
  io.writeError(JSON.stringify(outcome.error, null, 2));
  io.setExitStatus(toExitStatus(outcome.error));
}

/** True if a validation found problems or a version is not in force in every entry. */
function isNegativeResult(value: unknown): boolean {
  if (typeof value !== "object" || value === null) return false;
  return Reflect.get(value, "valid") === false ||
    Reflect.get(value, "inForceEverywhere") === false;
}

function toExitStatus(failure: AdminClientFailure | UsageFailure): AdminExit {
  switch (failure.kind) {
    case "refused":
    case "unreachable":
      return ADMIN_EXIT.Refused;
    case "usage":
      return ADMIN_EXIT.WrongUsage;
    case "unknown":
      return ADMIN_EXIT.Unknown;
  }
}

async function withBranchFile(
  flags: Flags,
  io: AdminIo,
  body: (branch: unknown) => CommandResult,
): CommandResult {
  const path = String(flags.file);
  try {
    return await body(JSON.parse(await io.readInput(path)));
  } catch (error) {
    return usageFailure(`Expected a branch as JSON in ${path}: ${error}`);
  }
}

function patch(client: AdminClient, flags: Flags): CommandResult {
  const path = String(flags.path);
  const ifMatch = integerFlag(flags, "if-match");
  if (flags.remove) {
    return client.patch(teamName(flags), { path, remove: true }, ifMatch);
  }
  const value = parseValue(flags.value);
  return client.patch(teamName(flags), { path, value }, ifMatch);
}

/** Parses JSON; other text is taken as a string, so that strings need no nested quotes. */
function parseValue(value: unknown): unknown {
  if (typeof value !== "string") return value;
  try {
    return JSON.parse(value);
  } catch {
    return value;
  }
}

function teamName(flags: Flags): string {
  return String(flags.team);
}

function integerFlag(flags: Flags, name: string): number | undefined {
  const value = flags[name];
  return typeof value === "number" ? value : undefined;
}

function usageFailure(message: string): Result<never, UsageFailure> {
  return Result.err({ kind: "usage", message });
}

function createProcessIo(): AdminIo {
  return {
    write: (line) => void process.stdout.write(`${line}\n`),
    writeError: (line) => void process.stderr.write(`${line}\n`),
    setExitStatus: (status) => {
      process.exitCode = status;
    },
    readInput: (path) =>
      path === "-" ? text(process.stdin) : readFile(path, "utf8"),
    environment: process.env,
  };
}
