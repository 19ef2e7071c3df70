/**
 * Orders to the backend server. One is on its way at a time, and its fencing number is checked right
 * before it is sent: the agent is the only sender, so an order that passed the gate is carried out
 * before one with a higher number is sent, also when this process was paused in between.
 *
 * A load that takes long is accepted before it ends, and holds back the orders after it. An unload is
 * accepted at once: its model takes no more requests, and the order is sent when those there are
 * gone, unless a later holder has given an order by then or the model is to be loaded.
 */
import type { Clock } from "../base/mod.ts";
import type { FencingGate } from "../lease/mod.ts";
import type {
  Engine,
  EngineFailure,
  EngineOrder,
  LoadedModel,
} from "../backends/engine.ts";
import type { OrderReply, OrderRequest } from "../wire/gen/cicadahitch.ts";
import type { Replicas, Retirement } from "./replicas.ts";
import { describeFailure } from "./run.ts";

/** What orders to a model engine need. */
export interface OrderedEngine {
  engine: Engine;
  replicas: Replicas;
}

/** What {@link Orders} is made from. */
export interface OrdersOptions {
  gate: FencingGate;
  clock: Clock;
  /** Undefined beside a plain service, which takes no orders but to drain. */
  server: OrderedEngine | undefined;
  /** Called when an order says whether the server is to take new work. */
  setDraining: (isDraining: boolean) => void;
  /** Called after an order was sent to the engine: its models may have changed. */
  onCarriedOut: () => Promise<void>;
  /** Ends unloads that still wait. */
  signal: AbortSignal;
}

type Lease = Pick<OrderRequest, "leaseKey" | "fencingNumber">;

/** A load that takes longer is accepted before its end is known; below the planner's deadline. */
const ACCEPT_MS = 1000;
const NO_ENGINE = "This server takes no such orders";

/** Passes orders on, one by one. */
export class Orders {
  readonly #options: OrdersOptions;
  #last: Promise<unknown> = Promise.resolve();
  /** The order that the engine was sent last. */
  #sending: Promise<unknown> = Promise.resolve();

  private constructor(options: OrdersOptions) {
    this.#options = options;
  }

  /**
   * @param options Gate and engine.
   * @returns Orders to one server.
   */
  static create(options: OrdersOptions): Orders {
    return new Orders(options);
  }

  /**
   * @param request An order.
   * @returns Whether it was, or is being, carried out.
   */
  carryOut(request: OrderRequest): Promise<OrderReply> {
    return this.#enqueue(() => this.#carryOutNext(request));
  }

  #enqueue<T>(task: () => Promise<T>): Promise<T> {
    const done = this.#last.then(task);
    this.#last = done.then(() => this.#sending).catch(() => {});
    return done;
  }

  async #carryOutNext(request: OrderRequest): Promise<OrderReply> {
    const { gate } = this.#options;
    const message = await this.#refuse(request) || await this.#start(request);
    return {
      accepted: message === "",
      message,
      highestFencingNumber: gate.highestOf(request.leaseKey),
    };
  }

  /** @returns Why the order must not be carried out; empty: it may. */
  async #refuse({ leaseKey, fencingNumber }: Lease): Promise<string> {
    const { gate } = this.#options;
    const prepared = await gate.prepare(leaseKey);
    if (prepared.isErr) {
      return `The lease's number can't be read: ${prepared.error.message}`;
    }
    if (gate.admit(leaseKey, fencingNumber)) return "";
    return `The fencing number is older than ${gate.highestOf(leaseKey)}`;
  }

  /** @returns What went wrong; empty: nothing. */
  async #start(request: OrderRequest): Promise<string> {
    const { order } = request;
    switch (order?.$case) {
      case "drain":
        this.#options.setDraining(order.value.draining);
        return "";
      case "loadModel":
        return await this.#load(request, order.value);
      case "unloadModel":
        return this.#startUnload(request, order.value);
      case "changeRole": {
        const { role } = order.value;
        return await this.#send(request, { kind: "role", role });
      }
      case undefined:
        return "The order is missing";
    }
  }

  async #load(lease: Lease, model: LoadedModel): Promise<string> {
    const replicas = this.#options.server?.replicas;
    replicas?.keep(model);
    replicas?.setLoading(model, true);
    const sending = this.#send(lease, { kind: "load", model })
      .finally(() => replicas?.setLoading(model, false));
    this.#sending = sending;
    return await this.#acceptLate(sending);
  }

  /** @returns What went wrong by then; empty: nothing yet. */
  async #acceptLate(sending: Promise<string>): Promise<string> {
    const { clock, signal } = this.#options;
    const settled = new AbortController();
    const late = clock.sleep(
      ACCEPT_MS,
      AbortSignal.any([signal, settled.signal]),
    );
    const message = await Promise.race([sending, late.then(() => "")]);
    settled.abort();
    return message;
  }

  #startUnload(lease: Lease, model: LoadedModel): string {
    const { server } = this.#options;
    if (!server) return NO_ENGINE;
    const retirement = server.replicas.retire(model);
    void this.#unload(server.replicas, lease, retirement);
    return "";
  }

  async #unload(
    replicas: Replicas,
    lease: Lease,
    retirement: Retirement,
  ): Promise<void> {
    const { signal } = this.#options;
    if (!await replicas.whenIdle(retirement, signal)) return;
    await this.#enqueue(async () => {
      if (!retirement.isWanted) return;
      const refusal = await this.#refuse(lease);
      const { model } = retirement;
      if (refusal === "") await this.#send(lease, { kind: "unload", model });
      replicas.endRetirement(retirement);
    });
  }

  async #send(
    { leaseKey, fencingNumber }: Lease,
    order: EngineOrder["order"],
  ): Promise<string> {
    const { server, gate, onCarriedOut } = this.#options;
    if (!server) return NO_ENGINE;
    const sent = await server.engine.order({ fencingNumber, order });
    await onCarriedOut();
    if (sent.isOk) return "";
    noteFenced(gate, leaseKey, sent.error);
    return describeFailure(sent.error);
  }
}

function noteFenced(
  gate: FencingGate,
  leaseKey: string,
  failure: EngineFailure,
): void {
  if (failure.kind !== "fenced") return;
  gate.raise(leaseKey, failure.highestFencingNumber);
}
