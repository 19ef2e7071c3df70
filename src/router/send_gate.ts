/** Chooses the server of the next send, with a permit if the server takes a limited rate. */
import type { Clock } from "../base/mod.ts";
import type { Progress } from "./attempt.ts";
import type { Choice } from "./choose.ts";
import type { Fleet } from "./fleet.ts";
import type { Caller } from "./permit_bucket.ts";
import { callerOf } from "./permit_caller.ts";
import type { Permits } from "./permits.ts";
import type { RoutedRequest } from "./request.ts";
import type { Server } from "./server.ts";
import type { ServerSelector } from "./server_selector.ts";

/** Permits asked for one send; after that, only servers without a limited rate are considered. */
const MAX_PERMIT_REQUESTS = 8;

/** Dependencies of a {@link SendGate}. */
export interface SendGateOptions {
  clock: Clock;
  fleet: Pick<Fleet, "has">;
  servers: Pick<ServerSelector, "any" | "ready">;
  permits: Pick<Permits, "acquire" | "giveBack">;
}

/** Chooses servers. */
export class SendGate {
  readonly #options: SendGateOptions;

  private constructor(options: SendGateOptions) {
    this.#options = options;
  }

  /**
   * @param options Dependencies.
   * @returns A gate.
   */
  static create(options: SendGateOptions): SendGate {
    return new SendGate(options);
  }

  /**
   * Chooses a server. One that takes a limited rate is only chosen with a permit, which must be used
   * or given back; if it is denied, another server is chosen. The choice is made at once unless a
   * permit is needed, so that requests that arrive together see each other's load.
   *
   * @param request The request.
   * @param progress Its state.
   * @param openAt Servers with open runs of the request.
   * @returns The choice; undefined if no server is available.
   */
  choose(
    request: RoutedRequest,
    progress: Progress,
    openAt: ReadonlySet<Server>,
  ): Choice | undefined | Promise<Choice | undefined> {
    const caller = callerOf(request, progress);
    const select = (caller?: Caller) =>
      this.#select(request, progress, { openAt, caller });
    const choice = select(caller);
    return !choice || !isRateLimited(choice.server)
      ? choice
      : this.#choosePermitted(choice, select, caller);
  }

  /** @param choice A choice that is not used after all. */
  giveBack({ server, hasPermit }: Choice): void {
    if (hasPermit) this.#options.permits.giveBack(server);
  }

  async #choosePermitted(
    first: Choice,
    select: (caller?: Caller) => Choice | undefined,
    caller: Caller,
  ): Promise<Choice | undefined> {
    const { permits } = this.#options;
    let choice: Choice | undefined = first;
    for (let asked = 0; asked < MAX_PERMIT_REQUESTS; asked++) {
      if (!choice || !isRateLimited(choice.server)) return choice;
      if (await permits.acquire(choice.server, caller)) {
        if (this.#isUsable(choice.server)) {
          return { ...choice, hasPermit: true };
        }
        permits.giveBack(choice.server);
      }
      choice = select(caller);
    }
    return select();
  }

  #select(
    request: RoutedRequest,
    progress: Progress,
    { openAt, caller }: { openAt: ReadonlySet<Server>; caller?: Caller },
  ): Choice | undefined {
    const { servers } = this.#options;
    return progress.streamStarted || openAt.size > 0
      ? servers.ready(request, progress, { openAt, caller })
      : servers.any(request, progress, { caller });
  }

  /** Whether the server is still in use, as it may have left while the permit was asked for. */
  #isUsable(server: Server): boolean {
    const { fleet, clock } = this.#options;
    return fleet.has(server) && !server.isLeaving(clock.nowMs());
  }
}

function isRateLimited({ announcements }: Server): boolean {
  return announcements.rate.perSecond !== undefined;
}
