/** The components of a router process: starts them, and describes their state. */
import type { ClientMemory } from "../base/client_memory.ts";
import type { Clock, Lifecycle, Logger, Metrics } from "../base/mod.ts";
import type { PlatformStore } from "../platform/mod.ts";
import type { CacheTransfer } from "./cache_transfer.ts";
import type { EffectiveState } from "./effective_state.ts";
import type { Fleet } from "./fleet.ts";
import type { StoreFollower } from "./follower.ts";
import type { Ingress } from "./ingress.ts";
import { openListeners } from "./listeners.ts";
import type { LoopLag } from "./loop_lag.ts";
import type { LoadScheduling } from "./load_scheduling.ts";
import type { StoreMirror } from "./mirror.ts";
import type { PeerNetwork } from "./peer_network.ts";
import type { Quarantine } from "./quarantine.ts";
import type { Quotas } from "./quotas.ts";
import type { Registration } from "./registration.ts";
import { relayAnswer, type RelayClient } from "./relay.ts";
import type { ServerRecords } from "./server_records.ts";
import { otherSeeds, type RouterSettings } from "./settings.ts";
import { sweepServers } from "./sweep.ts";
import type { WantedVersions } from "./wanted_weights.ts";
import type { WeightsRoll } from "./weights_roll.ts";

/** Dependencies of a a router. */
export interface RouterOptions {
  settings: RouterSettings;
  log: Logger;
  clock?: Clock;
  /** Returns a number from 0 to 1. */
  random?: () => number;
}

/** Components of one process. */
export interface RouterComponents {
  settings: RouterSettings;
  clock: Clock;
  log: Logger;
  metrics: Metrics;
  mirror: StoreMirror;
  store: PlatformStore;
  follower: StoreFollower;
  quarantine: Quarantine;
  quotas: Quotas;
  scheduling: LoadScheduling;
  lag: LoopLag;
  fleet: Fleet;
  records: ServerRecords;
  network: PeerNetwork;
  relay: RelayClient;
  registration: Registration;
  cacheTransfer: CacheTransfer;
  roll: WeightsRoll;
  ingress: Ingress;
  wanted: WantedVersions;
  state: EffectiveState;
  /** Budget of clients' connections and requests. */
  memory: ClientMemory;
  /** Budget of the readiness and control listeners. */
  controlMemory: ClientMemory;
}

/**
 * Opens the listeners and starts the tasks of a process.
 *
 * @param lifecycle Ends them in reverse order.
 * @param components The components.
 */
export async function startComponents(
  lifecycle: Lifecycle,
  components: RouterComponents,
): Promise<void> {
  const { settings, log, store, fleet, ingress, state } = components;
  const { network, follower, mirror, cacheTransfer } = components;
  lifecycle.own({ name: "store", close: () => store.close() });
  await openListeners(lifecycle, settings, {
    memory: components.controlMemory,
    relay: (after) => relayAnswer(mirror, after),
    expectedCaches: () => cacheTransfer.answer(state.caches()),
    metrics: () => components.metrics.render(),
    state: () => dumpState(components),
    isReady: () => state.table !== undefined && !ingress.draining,
  });
  lifecycle.own({ name: "fleet", close: () => fleet.close() });
  lifecycle.own({ name: "ingress", close: () => ingress.close() });
  const { clientAddress } = settings;
  await ingress.listen(clientAddress.ipAddress, clientAddress.port);
  lifecycle.task("lag", (signal) => components.lag.run(signal));
  lifecycle.task("follower", (signal) => follower.run(signal));
  network.open(lifecycle);
  const seeds = otherSeeds(settings);
  const { relay, registration, roll, records } = components;
  lifecycle.task("seeds", (signal) => relay.pollUntilSynced(seeds, signal));
  lifecycle.task("registration", (signal) => registration.run(signal));
  lifecycle.task("roll", (signal) => roll.run(signal));
  lifecycle.task("records", (signal) => records.run(signal));
  const sweepOptions = { ...components, contact: follower.contact };
  lifecycle.task("sweep", (signal) => sweepServers(sweepOptions, signal));
  log.info({ event: "listening", zone: settings.zone });
}

/**
 * @param components Components of a process.
 * @returns Their state for the state dump.
 */
export function dumpState(components: RouterComponents): unknown {
  const { state, mirror, follower, network, ingress, clock } = components;
  const nowMs = clock.nowMs();
  return {
    instance: components.settings.instance,
    configVersion: state.table?.version,
    storeEra: mirror.position.era,
    storeRevision: String(mirror.position.revision),
    knowledgeAgeMs: Math.round(mirror.ageMs),
    storeConnected: follower.contact.connected,
    storeCalls: components.store.calls,
    entries: network.gossip.count,
    holdsRollLease: components.roll.holdsLease,
    active: ingress.active,
    clientMemory: components.memory.state(),
    wanted: components.wanted.all(),
    lagMs: Math.round(components.lag.ms),
    suspects: components.quarantine.state(),
    quotas: components.quotas.state(),
    scheduling: components.scheduling.state(),
    permits: network.permits.state(),
    serviceRates: state.learnedRates(),
    servers: [...components.fleet.all()].map((server) => server.state(nowMs)),
  };
}
