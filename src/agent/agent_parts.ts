/** What an agent reaches outside itself; tests put stand-ins in its place. */
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

/** Who claims: this process. */
export interface ClaimantIdentity {
  address: string;
  agentIncarnation: string;
}

/** The backend server's adapter. */
export type ServerAdapter =
  | { kind: "engine"; engine: Engine }
  | { kind: "service"; service: PlainService };

/** Adapters that an agent is made from. */
export interface AgentParts {
  server: ServerAdapter;
  /** Undefined: calls that may not be repeated are refused. */
  openJournal?: (self: ClaimantIdentity) => ClaimsJournal;
  /** Undefined: the server checks fencing numbers itself. */
  readFencingFloor?: FloorReader;
  /** Closed when the agent stops. */
  owned: Owned[];
}

/**
 * @param options Settings.
 * @returns Adapters of the real systems; they connect when they are first used.
 */
export function buildParts(options: AgentOptions): AgentParts {
  const { server, storeAddress } = options;
  const adapter = buildServer(server);
  const parts: AgentParts = { server: adapter, owned: [ownedBy(adapter)] };
  if (storeAddress === "") return parts;
  const store = EtcdStore.create({ address: storeAddress });
  parts.owned.push({ name: "store", close: () => store.close() });
  parts.readFencingFloor = (leaseKey) => readFloor(store, leaseKey);
  const { clock, log } = options;
  parts.openJournal = (self) =>
    StoreClaimsJournal.create({ ...self, store, clock, log });
  return parts;
}

/**
 * A server that pauses goes on with its answer, so silence ends no run: its caller's deadline, the
 * service's timeout and the end of the engine's process do.
 */
const PATIENT = { headMs: 0, silenceMs: 0 };

function buildServer(server: AgentOptions["server"]): ServerAdapter {
  const { url } = server;
  switch (server.kind) {
    case "engine":
      return { kind: "engine", engine: HttpEngine.create({ url, ...PATIENT }) };
    case "service":
      return {
        kind: "service",
        service: HttpService.create({ url, ...PATIENT }),
      };
  }
}

function ownedBy(adapter: ServerAdapter): Owned {
  switch (adapter.kind) {
    case "engine":
      return { name: "engine", close: () => adapter.engine.close() };
    case "service":
      return { name: "service", close: () => adapter.service.close() };
  }
}

/** A lease's number is the revision at which its holder made the key. */
async function readFloor(
  store: KeyValueStore,
  leaseKey: string,
): Promise<Result<bigint, { message: string }>> {
  const found = await store.get(leaseKey);
  if (found.isOk) return Result.ok(found.value?.createRevision ?? 0n);
  return Result.err({ message: found.error.kind });
}
