/** Reads the settings of a router process from environment variables and reports all invalid ones. */
import { Result } from "true-myth";
import { LOG_LEVELS, type LogLevel } from "../base/log.ts";
import { BYTES_PER_MB, DEFAULT_INSTANCE_BYTES } from "../base/memory_shares.ts";
import { ChoiceName } from "./choose.ts";
import type { ResendLimits } from "./resend_budget.ts";

/** Address to listen on or to connect to. */
export interface SocketAddress {
  ipAddress: string;
  port: number;
}

/** Source of the rates by which answer times of engines are expected. */
export const EngineRatesMode = {
  /** Constants, and a factor for each server that each entry estimates alone. */
  fixed: "fixed",
  /** Learned from answers, with factors of servers that entries exchange. */
  learned: "learned",
} as const;

/** One of {@link EngineRatesMode}. */
export type EngineRatesMode =
  typeof EngineRatesMode[keyof typeof EngineRatesMode];

/** Whether runs that may not be repeated are copied to a second engine. */
export const RunBackupMode = {
  /** On engines that support it, for routes that can't be resumed. */
  auto: "auto",
  /** Never; copies take memory from cached prompts. */
  off: "off",
} as const;

/** One of {@link RunBackupMode}. */
export type RunBackupMode = typeof RunBackupMode[keyof typeof RunBackupMode];

/** Settings of an entry. */
export interface RouterSettings {
  instance: string;
  zone: string;
  ipAddress: string;
  /** Address for clients. */
  clientAddress: SocketAddress;
  /** Address of the readiness check of the load balancer. */
  readinessAddress: SocketAddress;
  /** Address that serves other entries, metrics and the state dump. */
  controlAddress: SocketAddress;
  /** UDP port on which entries exchange gossip. */
  peerPort: number;
  /** Other entries, which are asked for the store's content while the store doesn't respond. */
  seedAddresses: SocketAddress[];
  storeAddress: SocketAddress;
  /** Time from a stop signal until the process must have exited. */
  graceMs: number;
  /** Minimum time before another holder of the weights lease may give orders. */
  orderTurnMs: number;
  /** Age of a replacement from which the replaced weights may start no response. */
  weightsBoundMs: number;
  /** Interval at which a server writes its registration. */
  heartbeatMs: number;
  /** Whether engines reject orders whose fencing number is lower than one that they have seen. */
  enginesCheckFences: boolean;
  resendLimits: ResendLimits;
  /** Memory of the instance, of which what clients make the process hold is a part. */
  memoryBytes: number;
  /** Descriptors that the process may open. */
  maxDescriptors: number;
  logLevel: LogLevel;
  choice: ChoiceName;
  /** Where the rates of engines come from. */
  engineRates: EngineRatesMode;
  runBackups: RunBackupMode;
  admission: AdmissionMode;
  /** Part of a service's room that each less urgent priority with demand keeps. */
  priorityFloor: number;
}

/** Whether requests are admitted by priority. */
export const AdmissionMode = {
  auto: "auto",
  off: "off",
} as const;

/** One of {@link AdmissionMode}. */
export type AdmissionMode = typeof AdmissionMode[keyof typeof AdmissionMode];

/** Variable that is missing or has an invalid value. */
export interface InvalidSetting {
  variable: string;
  value: string | undefined;
  allowed: string;
}

/** Environment variables by name. */
export type Environment = Record<string, string | undefined>;

const PREFIX = "CICADAHITCH_";
const IP_PORT = "ip:port";
/** Defaults; the deployments have the same limits. */
const ORDER_TURN_MS = 3000;
const WEIGHTS_BOUND_MS = 10_000;
const HEARTBEAT_MS = 1200;
const MAX_DESCRIPTORS = 4096;
const PRIORITY_FLOOR = 0.05;
const MAX_PRIORITY_FLOOR = 0.5;
const RESEND_LIMITS: ResendLimits = { ratio: 0.2, slack: 54, windowMs: 10_000 };

/**
 * @param env Environment variables; those without the prefix `CICADAHITCH_` are ignored.
 * @returns The settings, or all variables that are missing or invalid.
 */
export function readSettings(
  env: Environment,
): Result<RouterSettings, InvalidSetting[]> {
  const faults: InvalidSetting[] = [];
  const read = <T>(
    name: string,
    allowed: string,
    parse: (value: string) => T | undefined,
  ): T => {
    const variable = PREFIX + name;
    const value = env[variable];
    const parsed = value === undefined ? undefined : parse(value);
    if (parsed === undefined) faults.push({ variable, value, allowed });
    return parsed as T;
  };
  // The platform sets variables to the empty string if it has no value for them.
  const readNumberOr = (
    name: string,
    fallback: number,
    parse: (value: string) => number | undefined,
  ): number =>
    env[PREFIX + name] ? read(name, "a number or empty", parse) : fallback;
  const readShareOr = (
    name: string,
    fallback: number,
    { max }: { max: number },
  ): number => {
    if (!env[PREFIX + name]) return fallback;
    return read(name, `0 to ${max} or empty`, (value) => {
      const share = parseNumber(value);
      return share !== undefined && share <= max ? share : undefined;
    });
  };
  const settings: RouterSettings = {
    instance: read("INSTANCE", "a name", nonEmpty),
    zone: read("ZONE", "a name", nonEmpty),
    ipAddress: read("IP_ADDRESS", "an IPv4 number", nonEmpty),
    clientAddress: read("CLIENT_ADDRESS", IP_PORT, parseAddress),
    readinessAddress: read("READINESS_ADDRESS", IP_PORT, parseAddress),
    controlAddress: read("CONTROL_ADDRESS", IP_PORT, parseAddress),
    peerPort: read("PEER_PORT", "a port", parsePort),
    seedAddresses: read("SEED_ADDRESSES", `${IP_PORT},…`, parseAddresses),
    storeAddress: read("STORE_ADDRESS", IP_PORT, parseAddress),
    graceMs: read("GRACE_S", "seconds", parseSeconds),
    orderTurnMs: readNumberOr("ORDER_TURN_MS", ORDER_TURN_MS, parseNumber),
    weightsBoundMs: readNumberOr(
      "WEIGHTS_BOUND_MS",
      WEIGHTS_BOUND_MS,
      parsePositive,
    ),
    heartbeatMs: readNumberOr("HEARTBEAT_MS", HEARTBEAT_MS, parsePositive),
    enginesCheckFences: read(
      "ENGINES_CHECK_FENCES",
      "true, false or empty",
      parseFlag,
    ),
    resendLimits: {
      ratio: readNumberOr("RESEND_RATIO", RESEND_LIMITS.ratio, parseNumber),
      slack: readNumberOr("RESEND_SLACK", RESEND_LIMITS.slack, parseNumber),
      windowMs: readNumberOr(
        "RESEND_WINDOW_S",
        RESEND_LIMITS.windowMs,
        parsePositiveSeconds,
      ),
    },
    memoryBytes: readNumberOr(
      "MEMORY_MB",
      DEFAULT_INSTANCE_BYTES,
      parsePositiveMegabytes,
    ),
    maxDescriptors: readNumberOr(
      "MAX_DESCRIPTORS",
      MAX_DESCRIPTORS,
      parsePositive,
    ),
    logLevel: readOneOf(env, "LOG_LEVEL", { faults, values: LOG_LEVELS }) ??
      "info",
    choice: readOneOf(env, "CHOICE", {
      faults,
      values: Object.values(ChoiceName),
    }) ?? ChoiceName.cost,
    engineRates: readOneOf(env, "ENGINE_RATES", {
      faults,
      values: Object.values(EngineRatesMode),
    }) ?? EngineRatesMode.fixed,
    runBackups: readOneOf(env, "RUN_BACKUPS", {
      faults,
      values: Object.values(RunBackupMode),
    }) ?? RunBackupMode.off,
    admission: readOneOf(env, "ADMISSION", {
      faults,
      values: Object.values(AdmissionMode),
    }) ?? AdmissionMode.auto,
    priorityFloor: readShareOr("PRIORITY_FLOOR", PRIORITY_FLOOR, {
      max: MAX_PRIORITY_FLOOR,
    }),
  };
  return faults.length > 0 ? Result.err(faults) : Result.ok(settings);
}

/** @returns The address in the form `ip:port`. */
export function formatAddress({ ipAddress, port }: SocketAddress): string {
  return `${ipAddress}:${port}`;
}

/**
 * @param settings Settings of an entry.
 * @returns IP addresses of the seeds other than this entry itself.
 */
export function otherSeeds(
  { seedAddresses, ipAddress }: RouterSettings,
): string[] {
  return seedAddresses.map((seed) => seed.ipAddress)
    .filter((other) => other !== ipAddress);
}

/** Reads an optional variable whose value must be one of a list. */
function readOneOf<T extends string>(
  env: Environment,
  name: string,
  { faults, values }: { faults: InvalidSetting[]; values: readonly T[] },
): T | undefined {
  const variable = PREFIX + name;
  const value = env[variable];
  if (value === undefined || value === "") return undefined;
  const known = values.find((one) => one === value);
  if (!known) faults.push({ variable, value, allowed: values.join(", ") });
  return known;
}

function nonEmpty(value: string): string | undefined {
  return value === "" ? undefined : value;
}

function parsePort(value: string): number | undefined {
  const port = Number(value);
  return Number.isInteger(port) && port >= 0 && port < 65_536
    ? port
    : undefined;
}

function parseAddress(value: string): SocketAddress | undefined {
  const at = value.lastIndexOf(":");
  const port = parsePort(value.slice(at + 1));
  if (at <= 0 || port === undefined) return undefined;
  return { ipAddress: value.slice(0, at), port };
}

function parseAddresses(value: string): SocketAddress[] | undefined {
  const addresses: SocketAddress[] = [];
  for (const item of value.split(",")) {
    if (item.trim() === "") continue;
    const address = parseAddress(item.trim());
    if (!address) return undefined;
    addresses.push(address);
  }
  return addresses;
}

function parseNumber(value: string): number | undefined {
  const number = Number(value);
  return value !== "" && Number.isFinite(number) && number >= 0
    ? number
    : undefined;
}

function parsePositive(value: string): number | undefined {
  return parseNumber(value) || undefined;
}

function parsePositiveMegabytes(value: string): number | undefined {
  const megabytes = parsePositive(value);
  return megabytes === undefined ? undefined : megabytes * BYTES_PER_MB;
}

function parsePositiveSeconds(value: string): number | undefined {
  return parseSeconds(value) || undefined;
}

/** Reads an empty value, which the platform sets if it has none, as false. */
function parseFlag(value: string): boolean | undefined {
  if (value === "true") return true;
  return value === "false" || value === "" ? false : undefined;
}

function parseSeconds(value: string): number | undefined {
  const seconds = parseNumber(value);
  return seconds === undefined ? undefined : seconds * 1000;
}
