/** External dependencies of an agent, which tests replace with fakes. */
import { fencingNumberOf, START_POSITION } from "../store/position.ts";
import { Result } from "true-myth";
import type { Owned } from "../base/mod.ts";
import type { FloorReader } from "../lease/mod.ts";
import { type ClaimsJournal, StoreClaimsJournal } from "../journal/mod.ts";
import type { Engine } from "../backends/engine.ts";
import { HttpEngine } from "../backends/http_engine.ts";
import { HttpService } from "../backends/http_service.ts";
import type { PlainService } from "../backends/service.ts";
import { EtcdStore } from "../store/etcd_store.ts";
import type { KeyValueStore } from "../store/store.ts";
import type { AgentOptions } from "./options.ts";

/** Identity under which this process claims idempotency keys. */
export interface ClaimantIdentity {
  address: string;
  agentIncarnation: string;
}

/** Adapter of the backend server. */
export type ServerAdapter =
  | { kind: "engine"; engine: Engine }
  | { kind: "service"; service: PlainService };

/** External dependencies of an agent. */
export interface AgentDependencies {
  server: ServerAdapter;
  /** Opens the claims journal; without it, at-most-once calls are refused. */
  openJournal?: (self: ClaimantIdentity) => ClaimsJournal;
  /** Reads the fencing number of a lease; undefined if the server checks fencing numbers itself. */
  readFencingNumber?: FloorReader;
  /** Resources to close when the agent stops. */
  owned: Owned[];
}

/**
 * Builds the adapters of the real backend server and store.
 *
 * @param options Settings.
 * @returns Adapters, which connect on first use.
 */
export function buildDependencies(options: AgentOptions): AgentDependencies {
  const { server, storeAddress } = options;
  const adapter = buildServer(server);
  const dependencies: AgentDependencies = {
    server: adapter,
    owned: [ownedResource(adapter)],
  };
  if (storeAddress === "") return dependencies;
  const store = EtcdStore.create({ address: storeAddress });
  dependencies.owned.push({ name: "store", close: () => store.close() });
  dependencies.readFencingNumber = (leaseKey) =>
    readHolderNumber(store, leaseKey);
  const { clock, log } = options;
  dependencies.openJournal = (self) =>
    StoreClaimsJournal.create({ ...self, store, clock, log });
  return dependencies;
}

/**
 * Disables the adapters' timeouts, since a server that pauses may resume its answer. A run is ended
 * by the caller's deadline, the service's timeout or the end of the engine process instead.
 */
const NO_TIMEOUTS = { headMs: 0, silenceMs: 0 };

function buildServer(server: AgentOptions["server"]): ServerAdapter {
  const { url } = server;
  switch (server.kind) {
    case "engine":
      return {
        kind: "engine",
        engine: HttpEngine.create({ url, ...NO_TIMEOUTS }),
      };
    case "service":
      return {
        kind: "service",
        service: HttpService.create({ url, ...NO_TIMEOUTS }),
      };
  }
}

function ownedResource(adapter: ServerAdapter): Owned {
  switch (adapter.kind) {
    case "engine":
      return { name: "engine", close: () => adapter.engine.close() };
    case "service":
      return { name: "service", close: () => adapter.service.close() };
  }
}

/**
 * Reads the fencing number of a lease's current holder, which names the store position at which the
 * holder created the key; 0 if nobody holds the lease.
 */
async function readHolderNumber(
  store: KeyValueStore,
  leaseKey: string,
): Promise<Result<bigint, { message: string }>> {
  const found = await store.get(leaseKey);
  if (found.isOk) {
    const position = found.value?.createPosition ?? START_POSITION;
    return fencingNumberOf(position).mapErr(({ kind }) => ({ message: kind }));
  }
  return Result.err({ message: found.error.kind });
}
