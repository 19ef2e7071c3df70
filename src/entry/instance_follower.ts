/**
 * Follows the platform's list of instances by long polling. Until the list has been read once,
 * instances are discovered from the seeds: an agent reports itself, an entry all instances it knows.
 */
import { z } from "zod";
import type { Clock, Logger } from "../base/mod.ts";
import {
  type Instance,
  type InstanceList,
  InstanceRole,
  InstanceState,
} from "../backends/instance_list.ts";
import { callUnary, type ChannelPool } from "../wire/mod.ts";
import type {
  DumpStateReply,
  DumpStateRequest,
} from "../wire/gen/cicadahitch.ts";
import type { Members } from "./members.ts";

/** Settings of an {@link InstanceFollower}. */
export interface InstanceFollowerOptions {
  /** Undefined if instances are discovered from the seeds only. */
  list: InstanceList | undefined;
  seedAddresses: string[];
  members: Members;
  channels: ChannelPool;
  clock: Clock;
  log: Logger;
  random: () => number;
  /** Timeout of a long poll of the list, in ms. */
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
/** State dump of an agent. */
const AGENT_DUMP = z.looseObject({
  role: z.literal("agent"),
  instanceId: z.string().min(1),
  zone: z.string(),
  pool: z.string(),
  isLeaving: z.boolean().default(false),
});
/** State dump of an entry. */
const ENTRY_DUMP = z.looseObject({
  role: z.literal("entry"),
  instanceId: z.string().min(1),
  zone: z.string(),
  instances: INSTANCES,
});

/** First backoff after a failed read of the list, and interval of seed polls that found nothing. */
const MIN_BACKOFF_MS = 100;
/** Upper bound of the exponential backoff after failed reads of the list. */
const MAX_BACKOFF_MS = 5000;
const SEED_TIMEOUT_MS = 1000;
/** Interval of the polls of the seeds once at least one instance is known. */
const SEED_POLL_MS = 2000;
/** Seeds that are queried in parallel, picked at random. */
const MAX_SEEDS_PER_ROUND = 16;

/** Updates {@link Members} from the list of instances and the seeds. */
export class InstanceFollower {
  readonly #options: InstanceFollowerOptions;
  #hasReadList = false;
  #lastFailure: string | undefined;

  private constructor(options: InstanceFollowerOptions) {
    this.#options = options;
  }

  /**
   * @param options List, seeds and the members to update.
   * @returns A follower that is not running yet.
   */
  static create(options: InstanceFollowerOptions): InstanceFollower {
    return new InstanceFollower(options);
  }

  /** Why the last read of the list failed; undefined if it succeeded. */
  get lastFailure(): string | undefined {
    return this.#lastFailure;
  }

  /**
   * Polls the list until aborted, with backoff after failures.
   *
   * @param signal Stops the polling.
   */
  async followList(signal: AbortSignal): Promise<void> {
    const { list, clock, random } = this.#options;
    if (!list) return;
    let backoffMs = MIN_BACKOFF_MS;
    while (!signal.aborted) {
      if (await this.#poll(list, signal)) {
        backoffMs = MIN_BACKOFF_MS;
        continue;
      }
      await clock.sleep(backoffMs * (0.5 + random()), signal);
      backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    }
  }

  /**
   * Polls the seeds until the list has been read.
   *
   * @param signal Stops the polling.
   */
  async pollSeeds(signal: AbortSignal): Promise<void> {
    const { seedAddresses, clock, random } = this.#options;
    while (!signal.aborted && !this.#hasReadList && seedAddresses.length > 0) {
      const shuffled = seedAddresses.toSorted(() => random() - 0.5);
      const chosen = shuffled.slice(0, MAX_SEEDS_PER_ROUND);
      await Promise.all(chosen.map((address) => this.#querySeed(address)));
      const hasInstances = this.#options.members.instances.length > 0;
      const pauseMs = hasInstances ? SEED_POLL_MS : MIN_BACKOFF_MS;
      await clock.sleep(pauseMs * (0.5 + random()), signal);
    }
  }

  async #poll(list: InstanceList, signal: AbortSignal): Promise<boolean> {
    const { members, log, waitMs } = this.#options;
    // The first read returns at once, without waiting for a change.
    const longPollMs = this.#hasReadList ? waitMs : 0;
    const since = this.#hasReadList ? members.revision : 0;
    const answer = await list.changes(since, longPollMs, signal);
    if (signal.aborted) return true;
    const failure = answer.isErr
      ? answer.error.message
      : this.#apply(answer.value);
    if (failure !== undefined && this.#lastFailure === undefined) {
      log.warn({ failure }, "Could not read the list of instances");
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
      full: full || !this.#hasReadList,
      instances: instances.data,
    });
    this.#hasReadList = true;
    return undefined;
  }

  async #querySeed(address: string): Promise<void> {
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
    if (dumped.isErr || this.#hasReadList) return;
    const { self, others } = parseSeedReply(dumped.value.json, address);
    members.addReported(self, { isSelfReported: true });
    members.addReported(others, { isSelfReported: false });
  }
}

/** Instances reported by a seed. */
interface SeedInstances {
  /** The seed; empty if its reply could not be read. */
  self: Instance[];
  others: Instance[];
}

function parseSeedReply(json: string, address: string): SeedInstances {
  const dump = parseJson(json);
  const agent = AGENT_DUMP.safeParse(dump);
  if (agent.success) {
    const { instanceId: id, zone, pool, isLeaving } = agent.data;
    const state = isLeaving ? InstanceState.Leaving : InstanceState.Live;
    const role = InstanceRole.Agent;
    const self = [{ id, role, zone, pool, address, state }];
    return { self, others: [] };
  }
  const entry = ENTRY_DUMP.safeParse(dump);
  if (!entry.success) return { self: [], others: [] };
  const { instanceId: id, zone, instances } = entry.data;
  const state = InstanceState.Live;
  const role = InstanceRole.Entry;
  const self = [{ id, role, zone, pool: "", address, state }];
  return { self, others: instances };
}

function parseJson(json: string): unknown {
  try {
    return JSON.parse(json);
  } catch {
    return undefined;
  }
}
