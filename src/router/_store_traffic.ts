/** Counts the calls to the platform's store in this process, by caller, kind and time. */
import { AsyncLocalStorage } from "node:async_hooks";
import { subscribe } from "node:diagnostics_channel";
import type { Clock } from "../base/mod.ts";
import type { KeyValueStore } from "../store/store.ts";

/** Kinds of calls; the platform bounds reads and writes, and a renewal counts as a tenth of a read. */
export const CallKind = {
  get: "get",
  list: "list",
  watch: "watch",
  write: "write",
  renewal: "renewal",
} as const;

/** One of {@link CallKind}. */
export type CallKind = typeof CallKind[keyof typeof CallKind];

/** What one caller, or all of them, sent in some time. */
export interface Traffic {
  calls: Record<CallKind, number>;
  /** Answers with a status of 400 or above. */
  refused: number;
  /** Bytes of bodies, sent and received. */
  bytes: number;
}

/** Resolution of the times. */
const BUCKET_MS = 100;

interface CallContext {
  caller: number;
  kind: CallKind;
}

/** Counts calls of the callers that use a store of {@link StoreTraffic.counted}. */
export class StoreTraffic {
  readonly #clock: Clock;
  readonly #contexts = new AsyncLocalStorage<CallContext>();
  readonly #callers = new WeakMap<object, CallContext>();
  readonly #buckets = new Map<number, Map<number, Traffic>>();

  private constructor(clock: Clock) {
    this.#clock = clock;
    this.#subscribe("undici:request:create", ({ request }) => {
      const context = this.#contexts.getStore();
      if (!context) return;
      this.#callers.set(request, context);
      this.#trafficOf(request)!.calls[context.kind]++;
    });
    this.#subscribe("undici:request:headers", ({ request, response }) => {
      const traffic = this.#trafficOf(request);
      if (traffic && response!.statusCode >= 400) traffic.refused++;
    });
    for (const direction of ["Sent", "Received"]) {
      this.#subscribe(
        `undici:request:bodyChunk${direction}`,
        ({ request, chunk }) => {
          const traffic = this.#trafficOf(request);
          if (traffic) traffic.bytes += Buffer.byteLength(chunk!);
        },
      );
    }
  }

  /**
   * @param clock Clock of the seconds.
   * @returns A count of the calls from now on.
   */
  static create(clock: Clock): StoreTraffic {
    return new StoreTraffic(clock);
  }

  /**
   * @param store A client of the store.
   * @param caller Number of the caller.
   * @returns The same client, whose calls are counted.
   */
  counted(store: KeyValueStore, caller: number): KeyValueStore {
    const as = <T>(kind: CallKind, call: () => T): T =>
      this.#contexts.run({ caller, kind }, call);
    return {
      get: (key) => as("get", () => store.get(key)),
      list: (prefix) => as("list", () => store.list(prefix)),
      commit: (...args) => as("write", () => store.commit(...args)),
      grantLease: (ttlMs) => as("write", () => store.grantLease(ttlMs)),
      renewLease: (id) => as("renewal", () => store.renewLease(id)),
      revokeLease: (id) => as("write", () => store.revokeLease(id)),
      watch: async function* (...args) {
        const steps = store.watch(...args)[Symbol.asyncIterator]();
        while (true) {
          const step = await as("watch", () => steps.next());
          if (step.done) return;
          yield step.value;
        }
      },
      close: () => store.close(),
    };
  }

  /**
   * @param fromMs Start of the time; it is rounded to {@link BUCKET_MS}.
   * @param lengthMs Its length, a multiple of {@link BUCKET_MS}.
   * @returns What each caller sent.
   */
  between(fromMs: number, lengthMs: number): Traffic[] {
    const callers = new Map<number, Traffic[]>();
    const first = Math.round(fromMs / BUCKET_MS);
    for (let i = 0; i < lengthMs / BUCKET_MS; i++) {
      for (const [caller, traffic] of this.#buckets.get(first + i) ?? []) {
        const rows = callers.get(caller) ?? [];
        callers.set(caller, [...rows, traffic]);
      }
    }
    return [...callers.values()].map(sumTraffic);
  }

  #trafficOf(request: object): Traffic | undefined {
    const context = this.#callers.get(request);
    if (!context) return undefined;
    const bucket = Math.floor(this.#clock.nowMs() / BUCKET_MS);
    const callers = this.#buckets.get(bucket) ?? new Map<number, Traffic>();
    this.#buckets.set(bucket, callers);
    const traffic = callers.get(context.caller) ?? emptyTraffic();
    callers.set(context.caller, traffic);
    return traffic;
  }

  #subscribe(channel: string, listener: (message: ChannelMessage) => void) {
    subscribe(channel, (message) => listener(message as ChannelMessage));
  }
}

interface ChannelMessage {
  request: object;
  response?: { statusCode: number };
  chunk?: Buffer;
}

/**
 * @param rows What callers sent.
 * @returns The sum.
 */
export function sumTraffic(rows: Traffic[]): Traffic {
  const sum = emptyTraffic();
  for (const { calls, refused, bytes } of rows) {
    for (const kind of Object.values(CallKind)) sum.calls[kind] += calls[kind];
    sum.refused += refused;
    sum.bytes += bytes;
  }
  return sum;
}

function emptyTraffic(): Traffic {
  const calls = { get: 0, list: 0, watch: 0, write: 0, renewal: 0 };
  return { calls, refused: 0, bytes: 0 };
}
