/** Origins of streams, by the id of the client attempt that brought the first event. */
import type { Clock } from "../base/mod.ts";
import type { StreamOrigin } from "./software_versions.ts";

/** Maximum number of streams; the oldest are dropped. */
const MAX_STREAMS = 20_000;

/** Origin of one stream, with the id of the attempt that began it. */
export interface OriginRow {
  id: string;
  origin: StreamOrigin;
  /** How long a client may still take up the stream. */
  leftMs: number;
}

/** Streams of this entry that its record in the store lacks. */
export type UnrecordedStreams =
  /** All services have one software version. */
  | { kind: "one_version" }
  | { kind: "none" }
  | {
    kind: "rows";
    /** All streams of this entry, at services with several versions. */
    rows: OriginRow[];
    /** To be called when the rows were written. */
    onRecorded(): void;
  };

interface KnownStream {
  origin: StreamOrigin;
  untilMs: number;
  /** This entry serves the stream, or has broken it off. */
  isOwn: boolean;
}

/** What this entry knows of streams that clients may take up. */
export class OriginTable {
  readonly #clock: Clock;
  /** In the order in which they were last set, so that the first ones expire first, more or less. */
  readonly #streams = new Map<string, KnownStream>();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param clock Clock of the streams' expiry.
   * @returns An empty table.
   */
  static create(clock: Clock): OriginTable {
    return new OriginTable(clock);
  }

  /** Number of streams, some of which may have expired. */
  get size(): number {
    return this.#streams.size;
  }

  /**
   * @param row A stream; it is kept at least as long as it was to be kept before.
   * @param options Whether this entry serves the stream.
   */
  set(
    { id, origin, leftMs }: OriginRow,
    { isOwn }: { isOwn: boolean },
  ): void {
    const known = this.#streams.get(id);
    const untilMs = Math.max(
      this.#clock.nowMs() + leftMs,
      known?.untilMs ?? -Infinity,
    );
    this.#streams.delete(id);
    this.#streams.set(id, {
      origin,
      untilMs,
      isOwn: isOwn || (known?.isOwn ?? false),
    });
    this.#dropExpired();
  }

  /**
   * @param id Id of the attempt that began a stream.
   * @returns The stream's row, if it is known and can still be taken up.
   */
  get(id: string): OriginRow | undefined {
    const known = this.#streams.get(id);
    if (!known) return undefined;
    const leftMs = known.untilMs - this.#clock.nowMs();
    return leftMs > 0 ? { id, origin: known.origin, leftMs } : undefined;
  }

  /** @param id Id of a stream that its client has received to the end. */
  delete(id: string): void {
    this.#streams.delete(id);
  }

  /**
   * @param options Only streams that this entry serves or has broken off, if set.
   * @returns All streams that can still be taken up.
   */
  rows({ onlyOwn = false }: { onlyOwn?: boolean } = {}): OriginRow[] {
    const rows: OriginRow[] = [];
    for (const [id, { isOwn }] of this.#streams) {
      const row = isOwn || !onlyOwn ? this.get(id) : undefined;
      if (row) rows.push(row);
    }
    return rows;
  }

  #dropExpired(): void {
    const nowMs = this.#clock.nowMs();
    for (const [id, { untilMs }] of this.#streams) {
      if (untilMs > nowMs && this.#streams.size <= MAX_STREAMS) return;
      this.#streams.delete(id);
    }
  }
}
