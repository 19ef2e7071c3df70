/**
 * Passes on what this entry knows of the store to entries that the store doesn't serve. A peer that
 * is behind for a moment catches up by its own watch; only one that stays behind asks.
 */
import type { Clock, Logger } from "../base/mod.ts";
import { isConfirmation } from "./peer_datagram.ts";
import { HttpCaller } from "../platform/mod.ts";
import type { KeyValueEntry } from "../store/store.ts";
import type {
  Catchup,
  Confirmation,
  Knowledge,
  MirrorChange,
  StoreMirror,
} from "./mirror.ts";

/** Path of the call, on the control address. */
export const RELAY_PATH = "/relay";
/** Time that the own watch has, once it watches, to bring what a peer knows already. */
const BEHIND_MS = 150;
/** Pause between questions to peers while nothing is known. */
const ASK_MS = 250;
/** Time for one call to a peer. */
const CALL_MS = 1000;

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
  /** For entries that ran before `confirmed` was told, which leave that out. */
  ageMs: number;
  confirmed?: Confirmation;
  isAll: boolean;
  entries: WireEntry[];
  deletes: WireDelete[];
}

/** What a {@link RelayReader} works with. */
export interface RelayOptions {
  mirror: StoreMirror;
  clock: Clock;
  log: Logger;
  /** Port of the control address, the same on every entry. */
  controlPort: number;
  /** Pause of the own watch after changes. */
  gatherMs(): number;
}

/**
 * @param mirror What this entry knows.
 * @param after Revision that the peer has.
 * @returns The answer to the peer.
 */
export function relayAnswer(mirror: StoreMirror, after: bigint): string {
  const catchup = mirror.catchup(after);
  return JSON.stringify(encode(catchup, mirror.knowledge.confirmed));
}

/** Catches up by what peers know. */
export class RelayReader {
  readonly #options: RelayOptions;
  #behindSinceMs: number | undefined;
  #isAsking = false;

  private constructor(options: RelayOptions) {
    this.#options = options;
  }

  /**
   * @param options The copy to keep up.
   * @returns A reader.
   */
  static create(options: RelayOptions): RelayReader {
    return new RelayReader(options);
  }

  /**
   * Takes in how much a peer knows, and asks it if this entry stays behind.
   *
   * @param ipAddress The peer.
   * @param knowledge What it says.
   */
  async heard(ipAddress: string, knowledge: Knowledge): Promise<void> {
    const { mirror, clock, gatherMs } = this.#options;
    if (knowledge.revision <= mirror.revision) {
      mirror.confirm(knowledge);
      if (knowledge.revision === mirror.revision) {
        this.#behindSinceMs = undefined;
      }
      return;
    }
    this.#behindSinceMs ??= clock.nowMs();
    const behindMs = clock.nowMs() - this.#behindSinceMs;
    if (behindMs < BEHIND_MS + gatherMs()) return;
    await this.ask(ipAddress);
  }

  /**
   * Asks peers in turn while nothing is known: the store may be down.
   *
   * @param ipAddresses Entries that may know.
   * @param signal Ends the work.
   */
  async askUntilKnown(
    ipAddresses: string[],
    signal: AbortSignal,
  ): Promise<void> {
    const { mirror, clock } = this.#options;
    await clock.sleep(ASK_MS, signal);
    for (let i = 0; !signal.aborted && mirror.revision === 0n; i++) {
      const ipAddress = ipAddresses[i % ipAddresses.length];
      if (ipAddress === undefined) return;
      await this.ask(ipAddress);
      await clock.sleep(ASK_MS, signal);
    }
  }

  /**
   * Asks a peer for what this entry lacks.
   *
   * @param ipAddress The peer.
   * @returns Whether it answered.
   */
  async ask(ipAddress: string): Promise<boolean> {
    if (this.#isAsking) return false;
    this.#isAsking = true;
    const { mirror, controlPort, log } = this.#options;
    const caller = HttpCaller.create(`${ipAddress}:${controlPort}`, CALL_MS);
    try {
      const answer = await caller.send({
        method: "GET",
        path: `${RELAY_PATH}?after=${mirror.revision}`,
        callMs: CALL_MS,
      });
      if (answer.isErr || answer.value.status !== 200) return false;
      const before = mirror.revision;
      apply(mirror, readCatchup(answer.value.body));
      this.#behindSinceMs = undefined;
      log.info({
        event: "caught_up_by_peer",
        peer: ipAddress,
        from: String(before),
        to: String(mirror.revision),
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

function encode(
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
    else deletes.push({ key: change.key, revision: String(change.revision) });
  }
  return {
    revision: String(catchup.revision),
    ageMs: Math.round(confirmed?.ageMs ?? Number.MAX_SAFE_INTEGER),
    confirmed,
    isAll: catchup.kind === "all",
    entries,
    deletes,
  };
}

/** What a peer told, read in whole before any of it counts. */
interface ReadCatchup extends Knowledge {
  isAll: boolean;
  entries: KeyValueEntry[];
  deletes: Extract<MirrorChange, { kind: "delete" }>[];
}

function apply(mirror: StoreMirror, told: ReadCatchup): void {
  const { revision, entries } = told;
  if (told.isAll) {
    mirror.replaceFrom({ entries, revision }, told.confirmed);
    return;
  }
  const changes: MirrorChange[] = [
    ...entries.map((entry): MirrorChange => ({ kind: "put", entry })),
    ...told.deletes,
  ];
  changes.sort((a, b) => Number(revisionOf(a) - revisionOf(b)));
  for (const change of changes) mirror.follow(change);
  mirror.catchUpTo(told);
}

function encodeEntry(entry: KeyValueEntry): WireEntry {
  return {
    key: entry.key,
    value: Buffer.from(entry.value).toString("base64"),
    modRevision: String(entry.modRevision),
    createRevision: String(entry.createRevision),
  };
}

/** Throws a TypeError where a field is missing or of another type. */
function readCatchup(body: Record<string, unknown>): ReadCatchup {
  const { ageMs, confirmed, isAll, entries, deletes } = body as Partial<
    WireCatchup
  >;
  const isVouched = confirmed === undefined || isConfirmation(confirmed);
  if (!Number.isFinite(ageMs) || !isVouched || typeof isAll !== "boolean") {
    throw new TypeError("Catch-up without its age");
  }
  if (!Array.isArray(entries) || !Array.isArray(deletes)) {
    throw new TypeError("Catch-up without entries");
  }
  return {
    revision: readRevision(body["revision"]),
    confirmed,
    isAll,
    entries: entries.map(decodeEntry),
    deletes: deletes.map((row) => ({
      kind: "delete",
      key: readText(row.key),
      revision: readRevision(row.revision),
    })),
  };
}

function decodeEntry(entry: WireEntry): KeyValueEntry {
  return {
    key: readText(entry.key),
    value: Buffer.from(readText(entry.value), "base64"),
    modRevision: readRevision(entry.modRevision),
    createRevision: readRevision(entry.createRevision),
  };
}

function readText(value: unknown): string {
  if (typeof value === "string") return value;
  throw new TypeError("No text");
}

function readRevision(value: unknown): bigint {
  return BigInt(readText(value));
}

function revisionOf(change: MirrorChange): bigint {
  return change.kind === "put" ? change.entry.modRevision : change.revision;
}
