/** Queue of prompts that were sent to servers or stores, to tell the other entries. */
import type { Datagram } from "./peer_datagram.ts";
import type { PlacedPrompt } from "./request.ts";

/** Prompts per datagram, to stay below the usual packet size; further prompts go in the next one. */
const MAX_PROMPTS_PER_DATAGRAM = 12;
/** Capacity of the queue; the oldest prompts are dropped when it overflows. */
const MAX_QUEUED_PROMPTS = 100;

/** Prompts to tell. */
export class PromptAnnouncements {
  readonly #queue: Datagram["prompts"] = [];

  private constructor() {}

  /** @returns An empty queue. */
  static create(): PromptAnnouncements {
    return new PromptAnnouncements();
  }

  /** @param placed A prompt that was sent to a server, or written to a prompt store. */
  add({ id, bornAtMs = 0, chain, readyInMs }: PlacedPrompt): void {
    const parts = chain.parts.map(({ id, tokens }): [string, number] => [
      id,
      tokens,
    ]);
    const roundedReadyInMs = Math.round(readyInMs);
    this.#queue.push([id, chain.salt, roundedReadyInMs, parts, bornAtMs]);
    if (this.#queue.length > MAX_QUEUED_PROMPTS) this.#queue.shift();
  }

  /** The rows of the next datagram. */
  get next(): Datagram["prompts"] {
    return this.#queue.slice(0, MAX_PROMPTS_PER_DATAGRAM);
  }

  /** @param count Number of rows that were sent. */
  markSent(count: number): void {
    this.#queue.splice(0, count);
  }
}
