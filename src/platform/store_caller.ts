/** Calls to the platform's store whose answers name the era of the store that gave them. */
import { Result } from "true-myth";
import {
  type Call,
  type CallAnswer,
  type CallFailure,
  HttpCaller,
} from "./http_call.ts";
import { Header } from "./names.ts";

/** An answer of the store, and the era in which it was given. */
export interface StoreAnswer extends CallAnswer {
  era: number;
}

/** Era of a store that names none. */
const NO_ERA = 0;
const ERA_PATTERN = /^\d{1,15}$/;

/** Sends calls to the store and keeps the newest era that is known. */
export class StoreCaller {
  readonly #caller: HttpCaller;
  #calls = 0;
  #newestEra = NO_ERA;

  private constructor(address: string, connectMs: number) {
    this.#caller = HttpCaller.create(address, connectMs);
  }

  /**
   * @param address `ip:port` of the store.
   * @param connectMs Connect timeout.
   * @returns A caller that connects on the first call.
   */
  static create(address: string, connectMs: number): StoreCaller {
    return new StoreCaller(address, connectMs);
  }

  /** Number of calls sent so far. */
  get calls(): number {
    return this.#calls;
  }

  /** Newest era of any answer, whatever its status, or of any position of a caller. */
  get newestEra(): number {
    return this.#newestEra;
  }

  /** @param era Era of a position that was read from the store, also by another process. */
  learnEra(era: number): void {
    this.#newestEra = Math.max(this.#newestEra, era);
  }

  /**
   * @param call The call.
   * @returns The answer, with any status and of any era, or why the call failed.
   */
  async send(call: Call): Promise<Result<StoreAnswer, CallFailure>> {
    this.#calls++;
    const answer = await this.#caller.send(call);
    if (answer.isErr) return Result.err(answer.error);
    const era = readEra(answer.value.headers[Header.storeEra]);
    if (era === undefined) {
      const message = "Answer names an era that is no number";
      return Result.err({ kind: "malformed", message });
    }
    this.learnEra(era);
    return Result.ok({ ...answer.value, era });
  }

  /** Closes all connections; calls in flight fail. */
  close(): Promise<void> {
    return this.#caller.close();
  }
}

function readEra(value: string | string[] | undefined): number | undefined {
  if (value === undefined) return NO_ERA;
  const isValid = typeof value === "string" && ERA_PATTERN.test(value);
  return isValid ? Number(value) : undefined;
}
