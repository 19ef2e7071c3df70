/** `cicadahitch state`: dumps the state of a process. */
import { Result } from "true-myth/result";
import { systemClock } from "../base/mod.ts";
import { type CallFailure, callUnary, ChannelPool } from "../wire/mod.ts";
import { readSecurity } from "./security.ts";
import {
  type InvalidSettings,
  problemsOf,
  readSettings,
  type SettingSources,
} from "./settings.ts";
import { STATE_SETTINGS } from "./setting_tables.ts";

const TIMEOUT_MS = 10_000;
const INDENT = 2;

/** Reason why the state could not be read. */
export type StateFailure = InvalidSettings | CallFailure;

/**
 * Reads the state of an entry or agent over gRPC.
 *
 * @param sources Flags and environment variables.
 * @returns The state as JSON text.
 */
export async function readState(
  sources: SettingSources,
): Promise<Result<string, StateFailure>> {
  const values = readSettings(STATE_SETTINGS, sources, {
    check: (valid) => problemsOf(readSecurity(valid, valid.address)),
  });
  if (values.isErr) return Result.err(values.error);
  const { address, pretty } = values.value;
  const security = readSecurity(values.value, address);
  if (security.isErr) return Result.err(security.error);
  const pool = ChannelPool.create({
    security: security.value,
    clock: systemClock,
  });
  try {
    const json = await requestState(pool, address);
    return pretty ? json.map(indent) : json;
  } finally {
    pool.close();
  }
}

async function requestState(
  pool: ChannelPool,
  address: string,
): Promise<Result<string, CallFailure>> {
  const { agent, peer } = pool.acquire(address);
  const options = { timeoutMs: TIMEOUT_MS };
  const entryReply = await callUnary(peer.dumpState.bind(peer), {}, options);
  if (entryReply.isOk) return Result.ok(entryReply.value.json);
  // An agent does not implement the gRPC service of entries and rejects the call.
  if (entryReply.error.kind !== "rejected") return Result.err(entryReply.error);
  const agentReply = await callUnary(agent.dumpState.bind(agent), {}, options);
  return agentReply.map(({ json }) => json);
}

function indent(json: string): string {
  return JSON.stringify(JSON.parse(json), undefined, INDENT);
}
