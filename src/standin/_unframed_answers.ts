/** Answers of the stand-in for a backend server that have neither a length nor chunks. */
import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

/** Time for the part of an answer to arrive before its connection ends. */
const ARRIVAL_MS = 10;

/** An answer to a request that ended; time by the process's monotonic clock. */
export interface EndedAnswer {
  requestId: string;
  atMs: number;
}

/** An answer that the server cut. */
export interface CutAnswer extends EndedAnswer {
  /** Whether its connection was reset, so that its end can't be taken for that of a whole answer. */
  isReset: boolean;
}

/** Tracks how answers end whose end only their connection shows. */
export class UnframedAnswers {
  /** Successful answers that were sent whole. */
  readonly whole: EndedAnswer[] = [];
  /** Answers that the server cut after a part. */
  readonly cut: CutAnswer[] = [];
  readonly #open = new Map<string, ServerResponse>();

  private constructor() {}

  /** @returns A record without answers. */
  static create(): UnframedAnswers {
    return new UnframedAnswers();
  }

  /**
   * Lets the end of the connection end an answer.
   *
   * @param requestId Id of the request.
   * @param response The answer, whose headers were not sent yet.
   */
  begin(requestId: string, response: ServerResponse): void {
    if (response.destroyed) return;
    response.removeHeader("transfer-encoding");
    response.removeHeader("content-length");
    this.#open.set(requestId, response);
    response.once("finish", () => {
      if (!this.#isOpen(requestId, response)) return;
      this.#open.delete(requestId);
      if (response.statusCode !== 200) return;
      this.whole.push({ requestId, atMs: performance.now() });
    });
    response.once("close", () => {
      if (this.#isOpen(requestId, response)) this.#open.delete(requestId);
    });
  }

  /**
   * @param requestId Request whose answer the server cuts now.
   * @param isReset Whether its connection is reset.
   */
  recordCut(requestId: string, isReset: boolean): void {
    if (!this.#open.delete(requestId)) return;
    this.cut.push({ requestId, atMs: performance.now(), isReset });
  }

  /**
   * Records a cut of all answers that have begun and not ended.
   *
   * @param isReset Whether their connections are reset.
   */
  recordEnd(isReset: boolean): void {
    for (const [requestId, { headersSent }] of this.#open) {
      if (headersSent) this.recordCut(requestId, isReset);
    }
    this.#open.clear();
  }

  #isOpen(requestId: string, response: ServerResponse): boolean {
    return this.#open.get(requestId) === response;
  }
}

/** Waits until what was sent should have arrived. */
export async function untilArrived(): Promise<void> {
  await sleep(ARRIVAL_MS);
}
