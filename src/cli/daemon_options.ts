/** Builds the options of the entry and agent daemons from validated settings. */
import { Result } from "true-myth/result";
import type { AgentOptions, BackendServer } from "../agent/options.ts";
import { BYTES_PER_MB } from "../base/memory_shares.ts";
import { createLogger, systemClock } from "../base/mod.ts";
import type { EntryOptions } from "../entry/options.ts";
import { readSecurity } from "./security.ts";
import {
  flagOf,
  type InvalidSettings,
  problemsOf,
  readSettings,
  type SettingProblem,
  type SettingSources,
  type SettingValues,
} from "./settings.ts";
import { AGENT_SETTINGS, ENTRY_SETTINGS } from "./setting_tables.ts";

type EntryValues = SettingValues<typeof ENTRY_SETTINGS>;

/**
 * @param sources Flags and environment variables.
 * @returns Options of an entry, or every invalid setting.
 */
export function readEntryOptions(
  sources: SettingSources,
): Result<EntryOptions, InvalidSettings> {
  const values = readSettings(ENTRY_SETTINGS, sources, {
    check: (valid) => [
      ...findAdminProblems(valid),
      ...problemsOf(readSecurity(valid, valid.peerAddress)),
    ],
  });
  if (values.isErr) return Result.err(values.error);
  const { value } = values;
  const security = readSecurity(value, value.peerAddress);
  if (security.isErr) return Result.err(security.error);
  return Result.ok({
    instanceId: value.instanceId,
    zone: value.zone,
    httpAddress: value.httpAddress,
    adminAddress: value.adminAddress,
    adminKeySha256: value.adminKeySha256,
    peerAddress: value.peerAddress,
    storeAddress: value.storeAddress,
    instanceListUrl: value.instanceListUrl,
    seedAddresses: value.seedAddresses,
    security: security.value,
    policy: value.policy,
    zoneRttMs: value.zoneRttMs,
    planning: value.planPools ? {} : undefined,
    drainMs: value.drainMs,
    unreadyMs: value.unreadyMs,
    memoryBytes: value.memoryMb * BYTES_PER_MB,
    log: createLogger({
      level: value.logLevel,
      role: "entry",
      processId: value.instanceId,
    }),
    clock: systemClock,
  });
}

/**
 * @param sources Flags and environment variables.
 * @returns Options of an agent, or every invalid setting.
 */
export function readAgentOptions(
  sources: SettingSources,
): Result<AgentOptions, InvalidSettings> {
  const values = readSettings(AGENT_SETTINGS, sources, {
    check: ({ engineUrl, serviceUrl, ...valid }) => [
      ...(engineUrl === undefined || serviceUrl === undefined
        ? []
        : problemsOf(readBackendServer(engineUrl, serviceUrl))),
      ...problemsOf(readSecurity(valid, valid.listenAddress)),
    ],
  });
  if (values.isErr) return Result.err(values.error);
  const { value } = values;
  const server = readBackendServer(value.engineUrl, value.serviceUrl);
  if (server.isErr) return Result.err(server.error);
  const security = readSecurity(value, value.listenAddress);
  if (security.isErr) return Result.err(security.error);
  return Result.ok({
    instanceId: value.instanceId,
    zone: value.zone,
    pool: value.pool,
    listenAddress: value.listenAddress,
    server: server.value,
    modelSlots: value.modelSlots,
    storeAddress: value.storeAddress,
    seedAddresses: value.seedAddresses,
    security: security.value,
    drainMs: value.drainMs,
    log: createLogger({
      level: value.logLevel,
      role: "agent",
      processId: value.instanceId,
    }),
    clock: systemClock,
  });
}

/** Reports a missing key or store, without which the administration API would silently stay off. */
function findAdminProblems(valid: Partial<EntryValues>): SettingProblem[] {
  if (!valid.adminAddress) return [];
  const needed = ["adminKeySha256", "storeAddress"] as const;
  return needed.filter((name) => valid[name] === "").map((name) => ({
    flag: flagOf(name),
    value: "nothing",
    source: `with --admin-address ${valid.adminAddress}`,
    allowed: `Expected ${ENTRY_SETTINGS[name].unit} for the administration API`,
  }));
}

function readBackendServer(
  engineUrl: string,
  serviceUrl: string,
): Result<BackendServer, InvalidSettings> {
  if (engineUrl !== "" && serviceUrl === "") {
    return Result.ok({ kind: "engine", url: engineUrl });
  }
  if (serviceUrl !== "" && engineUrl === "") {
    return Result.ok({ kind: "service", url: serviceUrl });
  }
  return Result.err({
    kind: "invalid_settings",
    problems: [{
      flag: "--engine-url",
      value: JSON.stringify(engineUrl),
      source: `with --service-url ${JSON.stringify(serviceUrl)}`,
      allowed: "Expected exactly one of --engine-url and --service-url",
    }],
  });
}
