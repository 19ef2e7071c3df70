/** Test doubles and factories shared by the router's tests. */
import { pino } from "pino";
import { ClientMemory } from "../base/client_memory.ts";
import { DEFAULT_SHARES } from "../base/memory_shares.ts";
import {
  type Clock,
  createSilentLogger,
  type Logger,
  systemClock,
} from "../base/mod.ts";
import type { ServiceRates } from "../service_rates/mod.ts";
import type { PromptPlacement } from "./choose.ts";
import type { Chain } from "./expected_cache.ts";
import { Fleet, type FleetOptions } from "./fleet.ts";
import type { BackendServer } from "./model.ts";
import { Server } from "./server.ts";
import type { ServerOptions } from "./server_options.ts";

/** A clock whose time advances only when a test calls {@link TestClock.advance}. */
export class TestClock {
  #nowMs = 1_000_000;

  nowMs = (): number => this.#nowMs;
  wallMs = (): number => this.#nowMs;
  sleep = (): Promise<void> => Promise.resolve();

  /** @param ms Time to add. */
  advance(ms: number): void {
    this.#nowMs += ms;
  }
}

/** @returns Limits of an ingress that its clients don't reach. */
export function testIngressLimits() {
  return {
    memory: ClientMemory.create({
      clock: systemClock,
      maxBytes: DEFAULT_SHARES.requestBytes,
    }),
    maxHeldBytes: DEFAULT_SHARES.heldBytes,
    maxConnections: 1000,
  };
}

export const silentLog = createSilentLogger();

/** A parsed JSON log line. */
export type LogLine = Record<string, unknown>;

/** @returns A logger and the array to which it appends its parsed lines. */
export function recordedLog(): { log: Logger; lines: LogLine[] } {
  const lines: LogLine[] = [];
  const write = (line: string) => lines.push(JSON.parse(line));
  return { log: pino({}, { write }), lines };
}

/**
 * @param id The server's id.
 * @param fields Overrides of the defaults, which describe a ready engine in zone `a`.
 * @returns A registration of a backend server.
 */
export function registration(
  id: string,
  fields: Partial<BackendServer> = {},
): BackendServer {
  return {
    id,
    service: "engines",
    address: "127.0.0.1:1",
    zone: "a",
    draining: false,
    slots: 4,
    weights: new Map([["m", 1]]),
    ...fields,
  };
}

const SERVER_OPTIONS: ServerOptions = {
  connectMs: 300,
  idleMs: 1000,
  cacheTokens: 10_000,
  connectionLimit: 100,
  copyMsPerToken: 0.0012,
};

/**
 * @param id The server's id.
 * @param fields Overrides of the defaults, which describe a ready engine in zone `a`; learned rates of
 *   its service, by default none.
 * @returns A server without load.
 */
export function testServer(
  id: string,
  { learnedRates, ...fields }: Partial<BackendServer> & {
    learnedRates?: ServiceRates;
  } = {},
): Server {
  const options = { ...SERVER_OPTIONS, learnedRates };
  return Server.create(registration(id, fields), options);
}

/**
 * @param parts Parts of the prompt.
 * @returns A prompt on weights that weren't replaced.
 */
export function testPrompt(parts: Chain["parts"]): PromptPlacement {
  return {
    model: "m",
    promptTokens: parts.reduce((sum, { tokens }) => sum + tokens, 0),
    outputTokens: 80,
    chainFor: (version) => ({ salt: `w${version}`, parts }),
    wantedVersion: 1,
    stores: [],
    replacedForMs: () => 0,
    weightsLimits: {
      staleFromMs: 7000,
      orderByMs: 8500,
      retiredFromMs: 9000,
      beginUntilMs: 9600,
    },
  };
}

/**
 * @param clock The fleet's clock.
 * @param options Overrides of the defaults: a silent log, a store without outages, no learned rates.
 * @returns A fleet without servers.
 */
export function testFleet(
  clock: Clock,
  { learnedRates, ...options }: Partial<FleetOptions> & {
    learnedRates?: ServiceRates;
  } = {},
): Fleet {
  return Fleet.create({
    clock,
    log: silentLog,
    heartbeatMs: 1000,
    serverOptions: () => ({ ...SERVER_OPTIONS, learnedRates }),
    outage: () => undefined,
    inRegistrationGrace: () => false,
    streamLifetimeMs: () => 0,
    onRemoved: () => {},
    recordedRate: () => undefined,
    onRate: () => {},
    ...options,
  });
}
