/**
 * Requests under which engines ended, as this entry saw them by its agents and as other entries tell.
 * One that ends engine after engine is refused for a while, wherever it comes.
 */
import type { Clock, Logger } from "../base/mod.ts";
import type { KeyValueEntry, KeyValueStore } from "../store/mod.ts";
import {
  hashRequest,
  SERIOUS_ENDS,
  type ServerEnd,
  SETTLED_MS,
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

/** Requests that are told of in one exchange. */
const MAX_TOLD = 32;
/** Good answers that are told of, the newest. */
const MAX_CLEARED = 32;
/** Pause before the store is asked again for the record, where it did not answer. */
const RETRY_MS = 2000;

/** What a {@link RunSuspects} works with. */
export interface RunSuspectsOptions {
  clock: Clock;
  log: Logger;
  /** Undefined: no key-value service is configured. */
  store: KeyValueStore | undefined;
}

/** A run that has ended, and its times. */
export interface EndedRun {
  /** Id of the server's seat. */
  memberId: string;
  end: RunEnd;
  sentAtMs: number;
  firstPieceAtMs: number | undefined;
}

/** What identifies a request over its calls. */
export interface SuspectedCall {
  team: string;
  workspace: string;
  call: NonNullable<StartRun["call"]>;
}

/** Suspected requests of an entry. */
export class RunSuspects implements SuspectSource {
  readonly table: SuspectTable;
  readonly #options: RunSuspectsOptions;
  /** Digests of requests that were cleared here or elsewhere, oldest first. */
  readonly #cleared = new Map<string, number>();
  #hasOwnNews = false;
  #record: KeyValueEntry | undefined;

  private constructor(options: RunSuspectsOptions) {
    this.#options = options;
    this.table = SuspectTable.create(options.clock);
  }

  /**
   * @param options Clock and store.
   * @returns Nothing is suspected yet.
   */
  static create(options: RunSuspectsOptions): RunSuspects {
    return new RunSuspects(options);
  }

  get hasOwnNews(): boolean {
    return this.#hasOwnNews;
  }

  recorded(): void {
    this.#hasOwnNews = false;
  }

  /**
   * @param call A request that is about to be run.
   * @returns Why it is not run, if it is in quarantine.
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
   * @param call A request.
   * @param run A run of it that has ended, well or not.
   */
  ended(
    call: SuspectedCall,
    { memberId, end, sentAtMs, firstPieceAtMs }: EndedRun,
  ): void {
    const atMs = this.#options.clock.nowMs();
    const { endedEngine } = end;
    if (endedEngine === undefined) return;
    const answeringMs = firstPieceAtMs && atMs - firstPieceAtMs;
    if (answeringMs !== undefined && answeringMs >= SETTLED_MS) return;
    const server = `${memberId}/${endedEngine}`;
    const runMs = atMs - sentAtMs;
    const digest = digestOf(call);
    const seen = { server, answeringMs, atMs, runMs };
    if (!this.table.note(digest, seen)) return;
    this.#hasOwnNews = true;
    this.#tell(digest);
  }

  /** @param call A request that was answered well. */
  answered(call: SuspectedCall): void {
    if (this.table.size === 0) return;
    const digest = digestOf(call);
    if (this.table.verdict(digest).kind === "clear") return;
    this.#clear(digest, this.#options.clock.nowMs());
    this.#hasOwnNews = true;
  }

  learn(digest: string, end: ServerEnd): void {
    if (this.table.note(digest, end)) this.#tell(digest);
  }

  /**
   * @param digest What this process tells another entry of what it holds.
   * @returns The same with what is suspected.
   */
  extend(digest: VersionDigest): VersionDigest {
    const suspects = this.#compose();
    const isEmpty = suspects.ended.length + suspects.cleared.length === 0;
    return isEmpty ? digest : { ...digest, suspects };
  }

  /** @param suspects What another entry suspects. */
  hear({ suspects }: VersionDigest): void {
    const nowMs = this.#options.clock.nowMs();
    for (const { digest, ageMs } of suspects?.cleared ?? []) {
      this.#clear(digest, nowMs - ageMs);
    }
    for (const { digest, ageMs, ...end } of suspects?.ended ?? []) {
      this.learn(digest, { ...end, atMs: nowMs - ageMs });
    }
  }

  /**
   * Reads what the store keeps of earlier processes, and keeps it up to date.
   *
   * @param signal Ends the work.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { store, clock, log } = this.#options;
    if (!store) return;
    const record: SuspectRecord = SuspectRecord.create({
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
      await clock.sleep(RETRY_MS, signal);
    }
    await record.run(signal);
  }

  async #read(store: KeyValueStore, record: SuspectRecord): Promise<boolean> {
    const entry = await store.get(SUSPECT_RECORD_KEY);
    if (entry.isErr) return false;
    this.#record = entry.value;
    record.recall();
    return true;
  }

  #clear(digest: string, atMs: number): void {
    this.table.clear(digest, atMs);
    this.#cleared.delete(digest);
    this.#cleared.set(digest, atMs);
    if (this.#cleared.size <= MAX_CLEARED) return;
    const [oldest] = this.#cleared.keys();
    if (oldest !== undefined) this.#cleared.delete(oldest);
  }

  #compose(): SuspectDigest {
    const nowMs = this.#options.clock.nowMs();
    const ageOf = (atMs: number) => Math.max(0, Math.round(nowMs - atMs));
    const ended = this.table.suspects(1).slice(0, MAX_TOLD).flatMap(
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

  #tell(digest: string): void {
    const verdict = this.table.verdict(digest);
    if (verdict.kind === "clear" || verdict.endCount < SERIOUS_ENDS) return;
    const { kind, endCount } = verdict;
    this.#options.log.warn({ digest, endCount, kind }, "Engines end under it");
  }
}

/** Calls of one team and workspace with the same content are one request. */
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
