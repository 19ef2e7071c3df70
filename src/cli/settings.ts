/**
 * Reads settings from flags and `CICADAHITCH_…` environment variables and validates them with zod.
 * A flag takes precedence over its variable. All problems are reported together.
 */
import { Result } from "true-myth/result";
import type { Argv, Options } from "yargs";
import type { z } from "zod";

/** Prefix of the environment variables. */
export const VARIABLE_PREFIX = "CICADAHITCH_";
/** Exit status of a process with invalid settings. */
export const EXIT_INVALID_SETTINGS = 2;

const HIDDEN = "(hidden)";
const MAX_SHOWN_CHARS = 80;

/** One setting. */
export interface Setting<T> {
  describe: string;
  /** Unit or format of the value, for `--help` and docs/OPERATING.md. */
  unit: string;
  /** Parses the text of the flag or variable. */
  schema: z.ZodType<T, string>;
  /** Text used if neither flag nor variable is given; if absent, the setting is required. */
  default?: string;
  /** True if the value must not be printed. */
  isSecret?: boolean;
  /** True if the flag takes no value. */
  isSwitch?: boolean;
}

/** Settings of a command by their camelCase name. */
// deno-lint-ignore no-explicit-any
export type SettingTable = Readonly<Record<string, Setting<any>>>;

/** Validated values of a table's settings. */
export type SettingValues<T extends SettingTable> = {
  [K in keyof T]: z.output<T[K]["schema"]>;
};

/** An invalid setting. */
export interface SettingProblem {
  /** The flag, with leading dashes. */
  flag: string;
  /** The invalid value, or `nothing`. */
  value: string;
  /** Origin of the value, such as a flag or a variable. */
  source: string;
  /** Message that states the allowed values. */
  allowed: string;
}

/** All problems found in the settings. */
export interface InvalidSettings {
  kind: "invalid_settings";
  problems: SettingProblem[];
}

/** Sources of settings. */
export interface SettingSources {
  /** Flags as parsed by yargs. */
  flags: Readonly<Record<string, unknown>>;
  variables: Readonly<Record<string, string | undefined>>;
}

/** Options of {@link readSettings}. */
export interface ReadSettingsOptions<T extends SettingTable> {
  /** Checks dependencies between settings; gets only the settings that are valid by themselves. */
  check?: (valid: Partial<SettingValues<T>>) => SettingProblem[];
}

interface RawSetting {
  text: string | undefined;
  source: string;
  isRepeated: boolean;
}

/**
 * @param name Setting name in camelCase.
 * @returns The flag, with leading dashes.
 */
export function flagOf(name: string): string {
  return "--" + kebabCase(name);
}

/**
 * @param name Setting name in camelCase.
 * @returns The name of the environment variable.
 */
export function variableOf(name: string): string {
  return VARIABLE_PREFIX +
    kebabCase(name).replaceAll("-", "_").toUpperCase();
}

/**
 * Adds the flags of a table to a command.
 *
 * @param argv The yargs instance of the command.
 * @param table Settings of the command.
 * @returns The same yargs instance.
 */
export function addFlags<T>(argv: Argv<T>, table: SettingTable): Argv<T> {
  for (const [name, setting] of Object.entries(table)) {
    argv.option(kebabCase(name), flagOptions(name, setting));
  }
  return argv;
}

/**
 * Reads and validates all settings of a command.
 *
 * @param table The settings.
 * @param sources Flags and environment variables.
 * @param options Additional checks.
 * @returns The validated values, or all problems found.
 */
export function readSettings<T extends SettingTable>(
  table: T,
  sources: SettingSources,
  options: ReadSettingsOptions<T> = {},
): Result<SettingValues<T>, InvalidSettings> {
  const problems = [
    ...findPositionalArguments(sources.flags),
    ...findUnknownFlags(table, sources.flags),
  ];
  const values: Record<string, unknown> = {};
  for (const [name, setting] of Object.entries(table)) {
    const rawSetting = findRawSetting(name, setting, sources);
    const parsed = parseSetting(name, setting, rawSetting);
    if (parsed.isOk) values[name] = parsed.value;
    else problems.push(parsed.error);
  }
  const valid = values as Partial<SettingValues<T>>;
  problems.push(...(options.check?.(valid) ?? []));
  if (problems.length > 0) {
    return Result.err({ kind: "invalid_settings", problems });
  }
  return Result.ok(values as SettingValues<T>);
}

/**
 * @param invalid The problems found.
 * @returns Error text for the operator, one line per problem.
 */
export function describeProblems(invalid: InvalidSettings): string {
  const lines = invalid.problems.map((problem) =>
    `  ${problem.flag}: ${problem.value} (${problem.source}). ${problem.allowed}.`
  );
  return ["Wrong settings:", ...lines].join("\n");
}

function flagOptions(name: string, setting: Setting<unknown>): Options {
  const unit = setting.isSwitch ? "" : ` [${setting.unit}]`;
  const need = setting.default === undefined ? " [required]" : "";
  return {
    type: setting.isSwitch ? "boolean" : "string",
    describe: `${setting.describe}${unit} (${variableOf(name)})${need}`,
    defaultDescription: need ? undefined : describeDefault(setting),
  };
}

/**
 * @param setting A setting.
 * @returns The default value as shown to operators.
 */
export function describeDefault(setting: Setting<unknown>): string {
  if (setting.default === undefined) return "required";
  return setting.default === "" ? "none" : setting.default;
}

function findRawSetting(
  name: string,
  setting: Setting<unknown>,
  sources: SettingSources,
): RawSetting {
  const flag = sources.flags[name] ?? sources.flags[kebabCase(name)];
  if (flag !== undefined) {
    return {
      text: String(flag),
      source: "flag",
      isRepeated: Array.isArray(flag),
    };
  }
  const variable = sources.variables[variableOf(name)];
  if (variable !== undefined) {
    return { text: variable, source: variableOf(name), isRepeated: false };
  }
  return { text: setting.default, source: "default", isRepeated: false };
}

function parseSetting(
  name: string,
  setting: Setting<unknown>,
  raw: RawSetting,
): Result<unknown, SettingProblem> {
  const reject = (allowed: string) =>
    Result.err<unknown, SettingProblem>({
      flag: flagOf(name),
      value: formatValue(setting, raw.text),
      source: raw.text === undefined ? "no flag or variable" : raw.source,
      allowed,
    });
  if (raw.isRepeated) return reject("Expected the flag once");
  if (raw.text === undefined) {
    return reject(`Expected ${setting.unit}, as flag or ${variableOf(name)}`);
  }
  if (raw.text === "" && raw.source === "flag") {
    return reject("Expected a value after the flag");
  }
  const parsed = setting.schema.safeParse(raw.text);
  if (parsed.success) return Result.ok(parsed.data);
  return reject(parsed.error.issues.map((issue) => issue.message).join("; "));
}

function formatValue(
  setting: Setting<unknown>,
  text: string | undefined,
): string {
  if (text === undefined) return "nothing";
  if (setting.isSecret) return HIDDEN;
  return JSON.stringify(text.slice(0, MAX_SHOWN_CHARS));
}

function findPositionalArguments(
  flags: Readonly<Record<string, unknown>>,
): SettingProblem[] {
  const positionals = Array.isArray(flags["_"]) ? flags["_"].slice(1) : [];
  return positionals.map((argument) => ({
    flag: "(no flag)",
    value: JSON.stringify(String(argument).slice(0, MAX_SHOWN_CHARS)),
    source: "command line",
    allowed: "Expected flags only, no positional arguments",
  }));
}

function findUnknownFlags(
  table: SettingTable,
  flags: Readonly<Record<string, unknown>>,
): SettingProblem[] {
  const known = new Set(["_", "$0", "help", "version"]);
  for (const name of Object.keys(table)) known.add(kebabCase(name));
  const unknown = Object.keys(flags).map(kebabCase)
    .filter((flag) => !known.has(flag));
  return [...new Set(unknown)].map((flag) => ({
    flag: `--${flag}`,
    value: JSON.stringify(String(flags[flag]).slice(0, MAX_SHOWN_CHARS)),
    source: "flag",
    allowed: "Expected a flag that --help lists",
  }));
}

/**
 * @param result Result of a check.
 * @returns The problems found; empty if the check passed.
 */
export function problemsOf(
  result: Result<unknown, InvalidSettings>,
): SettingProblem[] {
  return result.isErr ? result.error.problems : [];
}

function kebabCase(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => "-" + letter.toLowerCase());
}
