/** Builds the parts of an entry and registers them with its {@link Lifecycle}. */
import { ClientMemory } from "../base/client_memory.ts";
import {
  DAEMON_INSTANCE_BYTES,
  daemonRequestBytes,
} from "../base/memory_shares.ts";
import type { Lifecycle } from "../base/mod.ts";
import { Metrics } from "../base/metrics.ts";
import { AdminServer } from "../admin/mod.ts";
import {
  BranchSet,
  ConfigSync,
  createPeerService,
  GrpcPeerCalls,
} from "../config/mod.ts";
import { DemandMeter } from "../planner/mod.ts";
import { createPolicy, type Policy } from "../placement/mod.ts";
import { HttpInstanceList } from "../backends/http_instance_list.ts";
import { EtcdStore, type KeyValueStore } from "../store/mod.ts";
import { PeerService, RefusalCode } from "../wire/gen/cicadahitch.ts";
import { ChannelPool, GrpcListener } from "../wire/mod.ts";
import { Asker, type AskOutcome } from "./ask.ts";
import { Dispatcher } from "./dispatch.ts";
import { EntryMetrics } from "./entry_metrics.ts";
import type { HandlerDeps } from "./handler_deps.ts";
import { InstanceFollower } from "./instance_follower.ts";
import { Members } from "./members.ts";
import type { EntryOptions } from "./options.ts";
import { PoolPlanners } from "./pool_planners.ts";
import { RetryBudget } from "./retry_budget.ts";
import { RunSuspects } from "./run_suspects.ts";
import { TeamShares } from "./team_shares.ts";
import { DEFAULT_TUNING, type EntryTuning } from "./tuning.ts";
import { MissingVersions } from "./missing_versions.ts";

/** The components of an entry. */
export interface EntryParts {
  options: EntryOptions;
  tuning: EntryTuning;
  /** Budget for what callers and administrators make the process hold. */
  memory: ClientMemory;
  branches: BranchSet;
  metrics: EntryMetrics;
  members: Members;
  channels: ChannelPool;
  listener: GrpcListener;
  policy: Policy;
  follower: InstanceFollower;
  shares: TeamShares;
  suspects: RunSuspects;
  sync: ConfigSync;
  demand: DemandMeter;
  /** Undefined if planning is off or no key-value service is configured. */
  planners: PoolPlanners | undefined;
  /** Undefined if the settings lack its address, its key or the key-value service. */
  admin: AdminServer | undefined;
}

/**
 * @param options Settings.
 * @param lifecycle Owns the resources and background tasks.
 * @returns The parts; the listeners are not open yet.
 */
export function buildParts(
  options: EntryOptions,
  lifecycle: Lifecycle,
): EntryParts {
  const { clock, security, instanceId } = options;
  const tuning = { ...DEFAULT_TUNING, ...options.tuning };
  const { memoryBytes = DAEMON_INSTANCE_BYTES } = options;
  const maxBytes = daemonRequestBytes(memoryBytes);
  const memory = ClientMemory.create({ clock, maxBytes });
  const branches = BranchSet.create();
  const members = Members.create(clock);
  const channels = lifecycle.own(ChannelPool.create({
    security,
    clock,
    maxChannels: tuning.maxChannels,
    idleMs: tuning.channelIdleMs,
  }));
  const listener = lifecycle.own(
    GrpcListener.create(options.peerAddress, security),
  );
  const shares: TeamShares = TeamShares.create({
    instanceId,
    branches,
    members,
    channels,
    clock,
    random: Math.random,
    sync: () => sync,
  });
  const store = openStore(options, lifecycle);
  const suspects = RunSuspects.create({ clock, log: options.log, store });
  lifecycle.task("suspects", (signal) => suspects.run(signal));
  const base = {
    options,
    tuning,
    memory,
    branches,
    members,
    channels,
    listener,
    suspects,
  };
  const sync = buildSync(base, store, { lifecycle });
  const follower = buildFollower(base, lifecycle);
  const demand = DemandMeter.create(clock);
  return {
    ...base,
    demand,
    planners: buildPlanners({ ...base, demand }, store, { sync, lifecycle }),
    metrics: EntryMetrics.create(Metrics.create({ clock })),
    policy: buildPolicy(options),
    follower,
    shares,
    sync,
    admin: buildAdmin(base, store, { sync, lifecycle }),
  };
}

/**
 * @param parts Parts of the entry.
 * @returns The dependencies of the entry's request handlers.
 */
export function buildHandlerDeps(parts: EntryParts): HandlerDeps {
  const { channels, members, policy, tuning, sync, branches, shares } = parts;
  const { clock } = parts.options;
  const budget = RetryBudget.create();
  const asker = Asker.create({
    channels,
    onOutcome: (outcome) => applyAskOutcome(outcome, { members, policy }),
    clock,
    timeoutMs: tuning.askTimeoutMs,
    config: {
      push: async (address, team) =>
        (await sync.pushToAgent(address, [team])).isOk,
      fetch: async (address, team) => {
        await sync.fetchFromAgent(address, [team]);
      },
    },
  });
  const dispatcher = Dispatcher.create({
    channels,
    members,
    policy,
    config: asker.config,
    budget,
    suspects: parts.suspects,
    clock,
    random: Math.random,
    tuning,
  });
  return {
    clock,
    branches,
    limiter: shares.limiter,
    dispatcher,
    routing: {
      members,
      policy,
      budget,
      clock,
      tuning,
      asker,
      versions: MissingVersions.create(clock),
      demand: parts.demand,
    },
    body: { memory: parts.memory, timeoutMs: tuning.bodyTimeoutMs },
    knowsAllTeams: () => sync.knowsAllTeams,
  };
}

/**
 * Adds the gRPC service that other processes call.
 *
 * @param parts Parts of the entry.
 * @param dumpState Returns the entry's state as JSON.
 */
export function addPeerService(
  { listener, sync, branches, shares }: EntryParts,
  dumpState: () => string,
): void {
  const service = createPeerService({
    sync,
    branches,
    dumpState,
    extendAnswer: (asked, answer) => shares.addShares(asked, answer),
  });
  listener.addService(PeerService, service);
}

/** The parts that the other parts are built from. */
type BaseParts = Pick<
  EntryParts,
  | "options"
  | "tuning"
  | "memory"
  | "branches"
  | "members"
  | "channels"
  | "listener"
  | "suspects"
>;

function openStore(
  { storeAddress, clock }: EntryOptions,
  lifecycle: Lifecycle,
): KeyValueStore | undefined {
  if (storeAddress === "") return undefined;
  const store = EtcdStore.create({ address: storeAddress, clock });
  lifecycle.own({ name: "store", close: () => store.close() });
  return store;
}

function buildPolicy({ policy, zone, zoneRttMs, clock }: EntryOptions): Policy {
  return createPolicy(policy, {
    zone,
    zoneRttMs,
    nowMs: () => clock.nowMs(),
    random: Math.random,
  });
}

function buildSync(
  { options, branches, members, channels, listener, suspects }: BaseParts,
  store: KeyValueStore | undefined,
  { lifecycle }: { lifecycle: Lifecycle },
): ConfigSync {
  const { instanceId, seedAddresses, clock, log } = options;
  return ConfigSync.create({
    processId: instanceId,
    address: () => listener.address,
    store,
    branches,
    peers: GrpcPeerCalls.create({ channels, clock }),
    peerAddresses: () => members.entryAddresses,
    seedAddresses: () => [...seedAddresses, ...members.agentAddresses],
    lifecycle,
    log,
    clock,
    extendDigest: (digest) => suspects.addSuspects(digest),
    onPeerDigest: (digest) => suspects.mergeDigest(digest),
  });
}

function buildFollower(
  { options, tuning, members, channels }: BaseParts,
  lifecycle: Lifecycle,
): InstanceFollower {
  const { instanceListUrl, seedAddresses, clock, log } = options;
  const list = instanceListUrl === ""
    ? undefined
    : HttpInstanceList.create({ url: instanceListUrl });
  if (list) lifecycle.own({ name: "instance-list", close: () => list.close() });
  return InstanceFollower.create({
    list,
    seedAddresses,
    members,
    channels,
    clock,
    log,
    random: Math.random,
    waitMs: tuning.listWaitMs,
  });
}

function buildPlanners(
  { options, branches, members, channels, demand }: BaseParts & {
    demand: DemandMeter;
  },
  store: KeyValueStore | undefined,
  { sync, lifecycle }: { sync: ConfigSync; lifecycle: Lifecycle },
): PoolPlanners | undefined {
  const { planning, instanceId, clock, log } = options;
  if (!store || !planning) return undefined;
  return PoolPlanners.create({
    store,
    entryId: instanceId,
    branches,
    members,
    channels,
    demand,
    knowsAllTeams: () => sync.knowsAllTeams,
    tuning: planning,
    lifecycle,
    clock,
    log,
  });
}

function buildAdmin(
  { options, memory, branches, listener }: BaseParts,
  store: KeyValueStore | undefined,
  { sync, lifecycle }: { sync: ConfigSync; lifecycle: Lifecycle },
): AdminServer | undefined {
  const { adminAddress, adminKeySha256, instanceId, clock, log } = options;
  if (!store || adminAddress === "" || adminKeySha256 === "") return undefined;
  return lifecycle.own(AdminServer.create({
    address: adminAddress,
    keySha256: adminKeySha256,
    memory,
    store,
    branches,
    sync,
    processId: instanceId,
    peerAddress: () => listener.address,
    clock,
    log,
  }));
}

/** Updates the members and the placement policy with an agent's reply to an ask. */
function applyAskOutcome(
  outcome: AskOutcome,
  { members, policy }: Pick<EntryParts, "members" | "policy">,
): void {
  const memberId = outcome.member.id;
  switch (outcome.kind) {
    case "offer": {
      const { running, waiting } = outcome.offer;
      members.recordIncarnation(memberId, outcome.agentIncarnation);
      policy.recordObservation({ kind: "load", memberId, running, waiting });
      return;
    }
    case "refused": {
      const { code, retryAfterMs } = outcome.refusal;
      if (code === RefusalCode.LEAVING) members.markLeaving(memberId);
      policy.recordObservation({ kind: "refused", memberId, retryAfterMs });
      return;
    }
    case "failed":
      policy.recordObservation({ kind: "failed", memberId });
  }
}
