/**
 * Asks the store which software version a service has. This entry's copy of the store tells how things
 * were: a version may have joined since, and have begun the stream that a client takes up. The record of
 * a version is written before the first event of its streams is delivered, so the answer to a read that
 * is sent after a request has arrived names the version of the stream that the request takes up.
 */
import type { Clock, Metrics } from "../base/mod.ts";
import type { KeyValueStore } from "../store/store.ts";
import {
  readRecordedVersions,
  SOFTWARE_RECORD_PREFIX,
} from "./software_record.ts";
import type { SoftwareVersions } from "./software_versions.ts";

/** Longest wait for an answer; a slow store takes 60 times the usual 4 ms. */
const MAX_WAIT_MS = 300;
/** Most reads of all entries together; the platform bounds the calls to its store. */
const MAX_READS_PER_S = 40;
/** Most reads of all entries together after a time without any, beyond that rate. */
const MAX_BURST_READS = 24;
/** Reads of one entry after a time without any, however many entries there are. */
const MIN_BURST_READS = 3;

/** What the store says of a service. */
export type SoftwareAnswer =
  /** The servers of all streams that are still open have one version; undefined: they state none. */
  | { kind: "one_version"; softwareVersion: string | undefined }
  | { kind: "several_versions" }
  /** The store has no record of the service. */
  | { kind: "not_recorded" }
  /** The store did not answer in time. */
  | { kind: "no_answer" };

/** Dependencies of a {@link SoftwareCheck}. */
export interface SoftwareCheckOptions {
  store: Pick<KeyValueStore, "get">;
  clock: Clock;
  metrics: Metrics;
  /** The versions that this entry knows. */
  versions: Pick<SoftwareVersions, "current">;
  /** Number of entries that share the rate of reads. */
  entryCount(): number;
  /** Whether the store is answering. */
  isStoreServing(): boolean;
}

/** Versions in a service's record, empty without a record; undefined: the store did not answer. */
type Recorded = (string | null)[] | undefined;

/** Reads the records of software versions. */
export class SoftwareCheck {
  readonly #options: SoftwareCheckOptions;
  /** Reads that are not sent yet, by service; checks that begin before one is sent share it. */
  readonly #unsent = new Map<string, Promise<Recorded>>();
  /** When the next read may be sent, by the rate. */
  #nextAtMs = -Infinity;

  private constructor(options: SoftwareCheckOptions) {
    this.#options = options;
  }

  /**
   * @param options The store, and the versions that this entry knows.
   * @returns A check that has read nothing.
   */
  static create(options: SoftwareCheckOptions): SoftwareCheck {
    return new SoftwareCheck(options);
  }

  /**
   * @param service Name of a service.
   * @returns What the store says of it at some time after this call.
   */
  async ask(service: string): Promise<SoftwareAnswer> {
    const { versions, metrics, clock } = this.#options;
    const recorded = await Promise.race([
      this.#recorded(service),
      clock.sleep(MAX_WAIT_MS).then(() => undefined),
    ]);
    const answer = answerOf(recorded, versions.current(service));
    metrics.counter("software_checks_total", {
      help: "Reads of a service's software versions for a stream, by result",
      labels: { result: answer.kind },
    }).add();
    return answer;
  }

  #recorded(service: string): Promise<Recorded> {
    const unsent = this.#unsent.get(service);
    if (unsent) return unsent;
    const { clock, isStoreServing } = this.#options;
    const nowMs = clock.nowMs();
    const dueAtMs = this.#dueAtMs(nowMs);
    const pauseMs = Math.max(0, dueAtMs - nowMs);
    if (!isStoreServing() || pauseMs >= MAX_WAIT_MS) {
      return Promise.resolve(undefined);
    }
    this.#nextAtMs = dueAtMs + this.#intervalMs;
    const read = this.#read(service, pauseMs);
    this.#unsent.set(service, read);
    return read;
  }

  /** When the next read is due; it lies in the past after a time without reads. */
  #dueAtMs(nowMs: number): number {
    const entryCount = this.#options.entryCount();
    const share = Math.floor(MAX_BURST_READS / entryCount);
    const burst = Math.max(MIN_BURST_READS, share);
    return Math.max(this.#nextAtMs, nowMs - (burst - 1) * this.#intervalMs);
  }

  get #intervalMs(): number {
    return 1000 * this.#options.entryCount() / MAX_READS_PER_S;
  }

  async #read(service: string, pauseMs: number): Promise<Recorded> {
    const { store, clock } = this.#options;
    await clock.sleep(pauseMs);
    this.#unsent.delete(service);
    const read = await store.get(SOFTWARE_RECORD_PREFIX + service);
    return read.isOk ? readRecordedVersions(read.value?.value) : undefined;
  }
}

/** The service has several versions if the store names another one than this entry knows. */
function answerOf(
  recorded: Recorded,
  known: (string | undefined)[],
): SoftwareAnswer {
  if (!recorded) return { kind: "no_answer" };
  if (recorded.length === 0) return { kind: "not_recorded" };
  const versions = new Set([
    ...recorded.map((version) => version ?? undefined),
    ...known,
  ]);
  const [softwareVersion] = versions;
  return versions.size > 1
    ? { kind: "several_versions" }
    : { kind: "one_version", softwareVersion };
}
