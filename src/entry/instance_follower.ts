/**
 * Follows the platform's list of instances by long polls. While it can't be read, instances are
 * learned from the seeds: an agent says who it is, an entry says whom it knows.
 */
import { z } from "zod";
import type { Clock, Logger } from "../base/mod.ts";
import {
  type Instance,
  type InstanceList,
  InstanceRole,
  InstanceState,
} from "../backends/instances.ts";
import { callUnary, type ChannelPool } from "../wire/mod.ts";
import type {
  DumpStateReply,
  DumpStateRequest,
} from "../wire/gen/cicadahitch.ts";
import type { Members } from "./members.ts";

/** Settings of an {@link InstanceFollower}. */
export interface InstanceFollowerOptions {
  /** Undefined: only seeds are known. */
  list: InstanceList | undefined;
  seedAddresses: string[];
  members: Members;
  channels: ChannelPool;
  clock: Clock;
  log: Logger;
  random: () => number;
  /** How long the list may hold back its answer, in ms. */
  waitMs: number;
}

const INSTANCES = z.array(z.looseObject({
  id: z.string().min(1),
  role: z.enum(InstanceRole),
  zone: z.string(),
  address: z.string().min(1),
  pool: z.string(),
  state: z.enum(InstanceState),
}));
const AGENT_DUMP = z.looseObject({
  role: z.literal("agent"),
  instanceId: z.string().min(1),
  zone: z.string(),
  pool: z.string(),
  isLeaving: z.boolean().default(false),
});
const ENTRY_DUMP = z.looseObject({
  role: z.literal("entry"),
  instanceId: z.string().min(1),
  zone: z.string(),
  instances: INSTANCES,
});

const FIRST_PAUSE_MS = 100;
const MAX_PAUSE_MS = 5000;
const SEED_TIMEOUT_MS = 1000;
const SEED_POLL_MS = 2000;
const SEEDS_AT_ONCE = 16;

/** Keeps members in step with the list. */
export class InstanceFollower {
  readonly #options: InstanceFollowerOptions;
  #hasList = false;
  #lastFailure: string | undefined;

  private constructor(options: InstanceFollowerOptions) {
    this.#options = options;
  }

  /**
   * @param options Where instances are learned from.
   * @returns A follower that does nothing yet.
   */
  static create(options: InstanceFollowerOptions): InstanceFollower {
    return new InstanceFollower(options);
  }

  /** Why the list could not be read last time; undefined: it could. */
  get lastFailure(): string | undefined {
    return this.#lastFailure;
  }

  /** @param signal Ends following. */
  async followList(signal: AbortSignal): Promise<void> {
    const { list, clock, random } = this.#options;
    if (!list) return;
    let pauseMs = FIRST_PAUSE_MS;
    while (!signal.aborted) {
      if (await this.#poll(list, signal)) {
        pauseMs = FIRST_PAUSE_MS;
        continue;
      }
      await clock.sleep(pauseMs * (0.5 + random()), signal);
      pauseMs = Math.min(MAX_PAUSE_MS, pauseMs * 2);
    }
  }

  /** @param signal Ends asking. */
  async askSeeds(signal: AbortSignal): Promise<void> {
    const { seedAddresses, clock, random } = this.#options;
    while (!signal.aborted && !this.#hasList && seedAddresses.length > 0) {
      const shuffled = seedAddresses.toSorted(() => random() - 0.5);
      const chosen = shuffled.slice(0, SEEDS_AT_ONCE);
      await Promise.all(chosen.map((address) => this.#askSeed(address)));
      const isComplete = this.#options.members.instances.length > 0;
      const pauseMs = isComplete ? SEED_POLL_MS : FIRST_PAUSE_MS;
      await clock.sleep(pauseMs * (0.5 + random()), signal);
    }
  }

  async #poll(list: InstanceList, signal: AbortSignal): Promise<boolean> {
    const { members, log, waitMs } = this.#options;
    // The first answer must not be held back.
    const holdMs = this.#hasList ? waitMs : 0;
    const since = this.#hasList ? members.revision : 0;
    const answer = await list.changes(since, holdMs, signal);
    if (signal.aborted) return true;
    const failure = answer.isErr
      ? answer.error.message
      : this.#apply(answer.value);
    if (failure !== undefined && this.#lastFailure === undefined) {
      log.warn({ failure }, "The list of instances can't be read");
    }
    this.#lastFailure = failure;
    return failure === undefined;
  }

  #apply(
    changes: { revision: number; full: boolean; instances: Instance[] },
  ): string | undefined {
    const instances = INSTANCES.safeParse(changes.instances);
    if (!instances.success || !Number.isFinite(changes.revision)) {
      return "The list is not in the expected form";
    }
    const { revision, full } = changes;
    this.#options.members.apply({
      revision,
      full: full || !this.#hasList,
      instances: instances.data,
    });
    this.#hasList = true;
    return undefined;
  }

  async #askSeed(address: string): Promise<void> {
    const { channels, members } = this.#options;
    const lease = channels.acquire(address);
    const options = { timeoutMs: SEED_TIMEOUT_MS };
    const { agent, peer } = lease;
    const fromAgent = await callUnary<DumpStateRequest, DumpStateReply>(
      agent.dumpState.bind(agent),
      {},
      options,
    );
    const isEntry = fromAgent.isErr && fromAgent.error.kind === "rejected";
    const dumped = isEntry
      ? await callUnary<DumpStateRequest, DumpStateReply>(
        peer.dumpState.bind(peer),
        {},
        options,
      )
      : fromAgent;
    lease.release();
    if (dumped.isErr || this.#hasList) return;
    const { itself, others } = instancesOf(dumped.value.json, address);
    members.learn(itself, { isFirsthand: true });
    members.learn(others, { isFirsthand: false });
  }
}

interface SeedAnswer {
  itself: Instance[];
  others: Instance[];
}

function instancesOf(json: string, address: string): SeedAnswer {
  const dump = parse(json);
  const agent = AGENT_DUMP.safeParse(dump);
  if (agent.success) {
    const { instanceId: id, zone, pool, isLeaving } = agent.data;
    const state = isLeaving ? InstanceState.Leaving : InstanceState.Live;
    const role = InstanceRole.Agent;
    const itself = [{ id, role, zone, pool, address, state }];
    return { itself, others: [] };
  }
  const entry = ENTRY_DUMP.safeParse(dump);
  if (!entry.success) return { itself: [], others: [] };
  const { instanceId: id, zone, instances } = entry.data;
  const state = InstanceState.Live;
  const role = InstanceRole.Entry;
  const itself = [{ id, role, zone, pool: "", address, state }];
  return { itself, others: instances };
}

function parse(json: string): unknown {
  try {
    return JSON.parse(json);
  } catch {
    return undefined;
  }
}
