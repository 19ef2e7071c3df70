/**
 * Tracks suspected requests: those that were running when engines ended, as reported by this entry's
 * agents and by other entries. A request under which several engines ended is quarantined for a
 * while, at every entry.
 */
import type { Clock, Logger } from "../base/mod.ts";
import type { KeyValueEntry, KeyValueStore } from "../store/mod.ts";
import {
  CLEARED_AFTER_MS,
  hashRequest,
  MIN_SHARED_ENDS,
  type ServerEnd,
  SUSPECT_RECORD_KEY,
  SuspectRecord,
  type SuspectSource,
  SuspectTable,
} from "../suspects/mod.ts";
import type {
  RunEnd,
  StartRun,
  SuspectDigest,
  VersionDigest,
} from "../wire/gen/cicadahitch.ts";
import { notRun, type RequestFailure } from "./errors.ts";

/** Maximum number of suspected requests sent in one exchange. */
const MAX_SUSPECTS_SENT = 32;
/** Maximum number of cleared requests that are kept and sent; the oldest are dropped. */
const MAX_CLEARED_SENT = 32;
/** Pause before reading the stored record again after a failure. */
const READ_RETRY_MS = 2000;

/** Dependencies of {@link RunSuspects}. */
export interface RunSuspectsOptions {
  clock: Clock;
  log: Logger;
  /** Undefined if no key-value service is configured. */
  store: KeyValueStore | undefined;
}

/** A run that has ended, with its times. */
export interface EndedRun {
  /** Instance id of the server. */
  memberId: string;
  end: RunEnd;
  sentAtMs: number;
  firstPieceAtMs: number | undefined;
}

/** The data that identifies a request across repeated calls. */
export interface SuspectedCall {
  team: string;
  workspace: string;
  call: NonNullable<StartRun["call"]>;
}

/** The suspected requests that an entry knows of. */
export class RunSuspects implements SuspectSource {
  readonly table: SuspectTable;
  readonly #options: RunSuspectsOptions;
  /** Digests of requests that this or another entry cleared, with their times, oldest first. */
  readonly #cleared = new Map<string, number>();
  #hasOwnNews = false;
  #record: KeyValueEntry | undefined;

  private constructor(options: RunSuspectsOptions) {
    this.#options = options;
    this.table = SuspectTable.create(options.clock);
  }

  /**
   * @param options Clock, log and store.
   * @returns An instance without suspected requests.
   */
  static create(options: RunSuspectsOptions): RunSuspects {
    return new RunSuspects(options);
  }

  get hasUnrecordedChanges(): boolean {
    return this.#hasOwnNews;
  }

  markRecorded(): void {
    this.#hasOwnNews = false;
  }

  /**
   * @param call A request that is about to be run.
   * @returns The failure to report if the request is quarantined, else undefined.
   */
  refusalOf(call: SuspectedCall): RequestFailure | undefined {
    if (this.table.size === 0) return undefined;
    const verdict = this.table.verdict(digestOf(call));
    if (verdict.kind !== "quarantined") return undefined;
    const { endCount, leftMs } = verdict;
    const message = `${endCount} servers ended while they ran this request`;
    return notRun("quarantined", message, { retryAfterMs: leftMs });
  }

  /**
   * Records a suspicion if the run's engine ended. Runs that had already produced output for
   * {@link CLEARED_AFTER_MS} are ignored.
   *
   * @param call The request.
   * @param run A run of the request that has ended, successfully or not.
   */
  ended(
    call: SuspectedCall,
    { memberId, end, sentAtMs, firstPieceAtMs }: EndedRun,
  ): void {
    const atMs = this.#options.clock.nowMs();
    const { endedEngine } = end;
    if (endedEngine === undefined) return;
    const answeringMs = firstPieceAtMs && atMs - firstPieceAtMs;
    if (answeringMs !== undefined && answeringMs >= CLEARED_AFTER_MS) return;
    const server = `${memberId}/${endedEngine}`;
    const runMs = atMs - sentAtMs;
    const digest = digestOf(call);
    const seen = { server, answeringMs, atMs, runMs };
    if (!this.table.recordEnd(digest, seen)) return;
    this.#hasOwnNews = true;
    this.#logSuspect(digest);
  }

  /** @param call A request that was answered successfully, which clears it of suspicion. */
  answered(call: SuspectedCall): void {
    if (this.table.size === 0) return;
    const digest = digestOf(call);
    if (this.table.verdict(digest).kind === "clear") return;
    this.#clear(digest, this.#options.clock.nowMs());
    this.#hasOwnNews = true;
  }

  mergeEnd(digest: string, end: ServerEnd): void {
    if (this.table.recordEnd(digest, end)) this.#logSuspect(digest);
  }

  /**
   * @param digest A digest that this process is about to send to another entry.
   * @returns The digest with the suspected and cleared requests added, if there are any.
   */
  addSuspects(digest: VersionDigest): VersionDigest {
    const suspects = this.#buildDigest();
    const isEmpty = suspects.ended.length + suspects.cleared.length === 0;
    return isEmpty ? digest : { ...digest, suspects };
  }

  /** @param digest Another entry's digest, whose suspected and cleared requests are merged. */
  mergeDigest({ suspects }: VersionDigest): void {
    const nowMs = this.#options.clock.nowMs();
    for (const { digest, ageMs } of suspects?.cleared ?? []) {
      this.#clear(digest, nowMs - ageMs);
    }
    for (const { digest, ageMs, ...end } of suspects?.ended ?? []) {
      this.mergeEnd(digest, { ...end, atMs: nowMs - ageMs });
    }
  }

  /**
   * Reads the stored record, which survives restarts, and then keeps it up to date.
   *
   * @param signal Stops the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { store, clock, log } = this.#options;
    if (!store) return;
    const record: SuspectRecord = SuspectRecord.create({
      key: SUSPECT_RECORD_KEY,
      minEnds: MIN_SHARED_ENDS,
      store,
      clock,
      log,
      random: Math.random,
      source: this,
      record: () => this.#record,
      isStoreServing: () => true,
      refresh: async () => {
        await this.#read(store, record);
      },
    });
    while (!signal.aborted && !await this.#read(store, record)) {
      await clock.sleep(READ_RETRY_MS, signal);
    }
    await record.run(signal);
  }

  async #read(store: KeyValueStore, record: SuspectRecord): Promise<boolean> {
    const entry = await store.get(SUSPECT_RECORD_KEY);
    if (entry.isErr) return false;
    this.#record = entry.value;
    record.loadStored();
    return true;
  }

  #clear(digest: string, atMs: number): void {
    this.table.clear(digest, atMs);
    this.#cleared.delete(digest);
    this.#cleared.set(digest, atMs);
    if (this.#cleared.size <= MAX_CLEARED_SENT) return;
    const [oldest] = this.#cleared.keys();
    if (oldest !== undefined) this.#cleared.delete(oldest);
  }

  #buildDigest(): SuspectDigest {
    const nowMs = this.#options.clock.nowMs();
    const ageOf = (atMs: number) => Math.max(0, Math.round(nowMs - atMs));
    const ended = this.table.suspects(1).slice(0, MAX_SUSPECTS_SENT).flatMap(
      ({ digest, ends }) =>
        ends.map(({ server, answeringMs, atMs, runMs }) => ({
          digest,
          server,
          answeringMs: answeringMs && Math.round(answeringMs),
          ageMs: ageOf(atMs),
          runMs: Math.round(runMs),
        })),
    );
    const cleared = [...this.#cleared].map(([digest, atMs]) => ({
      digest,
      ageMs: ageOf(atMs),
    }));
    return { ended, cleared };
  }

  #logSuspect(digest: string): void {
    const verdict = this.table.verdict(digest);
    if (verdict.kind === "clear" || verdict.endCount < MIN_SHARED_ENDS) return;
    const { kind, endCount } = verdict;
    this.#options.log.warn(
      { digest, endCount, kind },
      "Engines ended repeatedly while running a request",
    );
  }
}

/** Hashes a call's content; calls of one team and workspace with equal content are one request. */
function digestOf({ team, workspace, call }: SuspectedCall): string {
  switch (call.$case) {
    case "modelCall": {
      const { api, body } = call.value;
      return hashRequest([team, workspace, api], body);
    }
    case "plainCall": {
      const { service, method, path, body } = call.value;
      return hashRequest([team, workspace, service, method, path], body);
    }
  }
}
