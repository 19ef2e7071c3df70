/**
 * Relays the store's content to entries that the store doesn't serve. A peer that lags briefly catches
 * up by its own watch; only one that stays behind requests the changes from another entry.
 */
import type { Clock, Logger } from "../base/mod.ts";
import { isConfirmation, isEra } from "./peer_datagram.ts";
import { HttpCaller } from "../platform/mod.ts";
import {
  comparePositions,
  formatPosition,
  isAfter,
  isStart,
  laterOf,
  positionAt,
  START_POSITION,
  type StorePosition,
} from "../store/position.ts";
import type { KeyValueEntry } from "../store/store.ts";
import type {
  Catchup,
  Confirmation,
  MirrorChange,
  StoreMirror,
  SyncState,
} from "./mirror.ts";

/** Path of the relay request, on the control address. */
export const RELAY_PATH = "/relay";
/** How long this entry may lag behind a peer before it asks the peer: time for its own watch. */
const LAG_TOLERANCE_MS = 150;
/** Interval between requests to peers while the replica is empty. */
const POLL_INTERVAL_MS = 250;
/** Timeout of one request to a peer. */
const REQUEST_TIMEOUT_MS = 1000;

interface WireEntry {
  key: string;
  value: string;
  modRevision: string;
  createRevision: string;
}

interface WireDelete {
  key: string;
  revision: string;
}

interface WireCatchup {
  revision: string;
  /** Era of all revisions; absent if the store names none, or from earlier releases. */
  era?: number;
  /** Age of the sender's replica; read only by releases without `confirmed`. */
  ageMs: number;
  confirmed?: Confirmation;
  isAll: boolean;
  entries: WireEntry[];
  deletes: WireDelete[];
}

/** Options of a {@link RelayClient}. */
export interface RelayOptions {
  mirror: StoreMirror;
  clock: Clock;
  log: Logger;
  /** Port of the control address; it is the same on every entry. */
  controlPort: number;
  /** Delay of this entry's own watch for coalescing changes. */
  coalesceMs(): number;
}

/**
 * @param mirror This entry's replica of the store.
 * @param after The peer's position.
 * @returns Body of the answer to the peer.
 */
export function relayAnswer(mirror: StoreMirror, after: StorePosition): string {
  const catchup = mirror.changesSince(after);
  return JSON.stringify(encodeCatchup(catchup, mirror.syncState.confirmed));
}

/** Brings the local replica up to date from peers. */
export class RelayClient {
  readonly #options: RelayOptions;
  /** Since when this entry has been behind the newest position that a peer reported. */
  #behindSinceMs: number | undefined;
  #newestReported = START_POSITION;
  #isAsking = false;

  private constructor(options: RelayOptions) {
    this.#options = options;
  }

  /**
   * @param options The local replica, and how to reach peers.
   * @returns A reader.
   */
  static create(options: RelayOptions): RelayClient {
    return new RelayClient(options);
  }

  /**
   * Compares a peer's sync state with this entry's, and requests the missing changes from the peer if
   * this entry stays behind.
   *
   * @param ipAddress Address of the peer.
   * @param syncState Sync state that the peer reported.
   */
  async onPeerSyncState(
    ipAddress: string,
    syncState: SyncState,
  ): Promise<void> {
    const { mirror, clock, coalesceMs } = this.#options;
    const { position } = syncState;
    // Another peer that is as far behind doesn't show that this entry has caught up.
    if (!isAfter(this.#newestReported, mirror.position)) {
      this.#behindSinceMs = undefined;
    }
    this.#newestReported = laterOf(this.#newestReported, position);
    if (!isAfter(position, mirror.position)) return mirror.confirm(syncState);
    this.#behindSinceMs ??= clock.nowMs();
    const behindMs = clock.nowMs() - this.#behindSinceMs;
    if (behindMs < LAG_TOLERANCE_MS + coalesceMs()) return;
    await this.ask(ipAddress);
  }

  /**
   * Asks peers in turn while the replica is empty, as the store may be down.
   *
   * @param ipAddresses Addresses of the peers.
   * @param signal Stops the requests.
   */
  async pollUntilSynced(
    ipAddresses: string[],
    signal: AbortSignal,
  ): Promise<void> {
    const { mirror, clock } = this.#options;
    await clock.sleep(POLL_INTERVAL_MS, signal);
    for (let i = 0; !signal.aborted && isStart(mirror.position); i++) {
      const ipAddress = ipAddresses[i % ipAddresses.length];
      if (ipAddress === undefined) return;
      await this.ask(ipAddress);
      await clock.sleep(POLL_INTERVAL_MS, signal);
    }
  }

  /**
   * Requests the missing changes from a peer, and applies them.
   *
   * @param ipAddress Address of the peer.
   * @returns Whether the peer gave a valid answer; false if another request is in flight.
   */
  async ask(ipAddress: string): Promise<boolean> {
    if (this.#isAsking) return false;
    this.#isAsking = true;
    const { mirror, controlPort, log } = this.#options;
    const caller = HttpCaller.create(
      `${ipAddress}:${controlPort}`,
      REQUEST_TIMEOUT_MS,
    );
    try {
      const answer = await caller.send({
        method: "GET",
        path: relayPath(mirror.position),
        idleTimeoutMs: REQUEST_TIMEOUT_MS,
      });
      if (answer.isErr || answer.value.status !== 200) return false;
      const before = mirror.position;
      applyCatchup(mirror, decodeCatchup(answer.value.body));
      this.#behindSinceMs = undefined;
      log.info({
        event: "caught_up_by_peer",
        peer: ipAddress,
        from: formatPosition(before),
        to: formatPosition(mirror.position),
      });
      return true;
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      log.warn({ event: "peer_malformed", peer: ipAddress, reason });
      return false;
    } finally {
      this.#isAsking = false;
      await caller.close();
    }
  }
}

function relayPath({ era, revision }: StorePosition): string {
  return `${RELAY_PATH}?after=${revision}&era=${era}`;
}

function encodeCatchup(
  catchup: Catchup,
  confirmed: Confirmation | undefined,
): WireCatchup {
  const changes: MirrorChange[] = catchup.kind === "steps"
    ? catchup.changes
    : catchup.entries.map((entry) => ({ kind: "put", entry }));
  const entries: WireEntry[] = [];
  const deletes: WireDelete[] = [];
  for (const change of changes) {
    if (change.kind === "put") entries.push(encodeEntry(change.entry));
    else {deletes.push({
        key: change.key,
        revision: String(change.position.revision),
      });}
  }
  return {
    revision: String(catchup.position.revision),
    era: catchup.position.era || undefined,
    ageMs: Math.round(confirmed?.ageMs ?? Number.MAX_SAFE_INTEGER),
    confirmed,
    isAll: catchup.kind === "all",
    entries,
    deletes,
  };
}

/** A peer's answer, decoded and validated as a whole before any of it is applied. */
interface DecodedCatchup extends SyncState {
  isAll: boolean;
  entries: KeyValueEntry[];
  deletes: Extract<MirrorChange, { kind: "delete" }>[];
}

function applyCatchup(mirror: StoreMirror, decoded: DecodedCatchup): void {
  const { position, entries } = decoded;
  if (decoded.isAll) {
    mirror.replaceFromPeer({ entries, position }, decoded.confirmed);
    return;
  }
  const changes: MirrorChange[] = [
    ...entries.map((entry): MirrorChange => ({ kind: "put", entry })),
    ...decoded.deletes,
  ];
  changes.sort((a, b) => comparePositions(positionOf(a), positionOf(b)));
  for (const change of changes) mirror.applyStep(change);
  mirror.advanceTo(decoded);
}

function encodeEntry(entry: KeyValueEntry): WireEntry {
  return {
    key: entry.key,
    value: Buffer.from(entry.value).toString("base64"),
    modRevision: String(entry.modPosition.revision),
    createRevision: String(entry.createPosition.revision),
  };
}

/** Throws a TypeError if a field is missing or has another type. */
function decodeCatchup(body: Record<string, unknown>): DecodedCatchup {
  const { ageMs, confirmed, isAll, entries, deletes } = body as Partial<
    WireCatchup
  >;
  const isConfirmedValid = confirmed === undefined || isConfirmation(confirmed);
  if (
    !Number.isFinite(ageMs) || !isConfirmedValid || typeof isAll !== "boolean"
  ) {
    throw new TypeError("Catch-up without a valid age, confirmation or scope");
  }
  if (!Array.isArray(entries) || !Array.isArray(deletes)) {
    throw new TypeError("Catch-up without lists of entries and deletes");
  }
  const era = decodeEra(body["era"]);
  return {
    position: decodePosition(body["revision"], era),
    confirmed,
    isAll,
    entries: entries.map((entry) => decodeEntry(entry, era)),
    deletes: deletes.map((row) => ({
      kind: "delete",
      key: decodeString(row.key),
      position: decodePosition(row.revision, era),
    })),
  };
}

function decodeEntry(entry: WireEntry, era: number): KeyValueEntry {
  return {
    key: decodeString(entry.key),
    value: Buffer.from(decodeString(entry.value), "base64"),
    modPosition: decodePosition(entry.modRevision, era),
    createPosition: decodePosition(entry.createRevision, era),
  };
}

function decodeString(value: unknown): string {
  if (typeof value === "string") return value;
  throw new TypeError("Catch-up field is not a string");
}

function decodeEra(value: unknown): number {
  if (value === undefined) return 0;
  if (isEra(value)) return value;
  throw new TypeError("Catch-up with an invalid era");
}

function decodePosition(value: unknown, era: number): StorePosition {
  return positionAt(era, BigInt(decodeString(value)));
}

function positionOf(change: MirrorChange): StorePosition {
  return change.kind === "put" ? change.entry.modPosition : change.position;
}
