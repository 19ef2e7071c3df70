/**
 * Finds out whether the process that answers is the one that has registered. A server that states its start
 * time may start again under its id and address with other software, and it answers before its new
 * registration is read. The others get another id whenever they start, which each request names.
 */
import { fetchReport } from "../platform/mod.ts";
import type { Send } from "./attempt.ts";
import type { Fleet } from "./fleet.ts";
import type { Server } from "./server.ts";

/** Longest wait for a connection, and for the report on it; the first event of a stream waits for both. */
const CALL_TIMEOUT_MS = 1000;

/** Dependencies of a {@link ProcessCheck}. */
export interface ProcessCheckOptions {
  fleet: Pick<Fleet, "versions">;
  /** Default: the platform's call. */
  fetchReport?: typeof fetchReport;
}

/** What is known of the connections to one server. */
interface Checked {
  /** Connections up to this number are to the registered process. */
  upTo: number;
  /** The call that is in progress. */
  pending?: { upTo: number; done: Promise<void> };
}

/** Asks servers when they started, while their service has several software versions. */
export class ProcessCheck {
  readonly #options: ProcessCheckOptions;
  readonly #servers = new WeakMap<Server, Checked>();

  private constructor(options: ProcessCheckOptions) {
    this.#options = options;
  }

  /**
   * @param options Software versions of the servers, and how they are asked.
   * @returns A check that has asked no server.
   */
  static create(options: ProcessCheckOptions): ProcessCheck {
    return new ProcessCheck(options);
  }

  /**
   * @param send A send whose server is answering.
   * @returns Whether the registered process answers, so that its software version is known. True also if
   *   all servers of the service have one version.
   */
  async isRegistered({ choice, exchange }: Send): Promise<boolean> {
    const { server } = choice;
    const { service, bornAtMs } = server.entry;
    if (bornAtMs === undefined) return true;
    if (!this.#options.fleet.versions.isMixed(service)) return true;
    const checked = this.#checkedOf(server);
    const { connectionNumber } = exchange;
    if (connectionNumber > checked.upTo) {
      await this.#ask(server, checked, connectionNumber);
    }
    return connectionNumber <= checked.upTo;
  }

  #checkedOf(server: Server): Checked {
    let checked = this.#servers.get(server);
    if (!checked) this.#servers.set(server, checked = { upTo: 0 });
    return checked;
  }

  /** A call that began before the connection was established shows nothing about it. */
  async #ask(server: Server, checked: Checked, number: number): Promise<void> {
    if (!checked.pending || checked.pending.upTo < number) {
      const upTo = server.channels.connections.established;
      const pending = { upTo, done: this.#fetch(server, checked, upTo) };
      checked.pending = pending;
      void pending.done.then(() => {
        if (checked.pending === pending) checked.pending = undefined;
      });
    }
    await checked.pending!.done;
  }

  /** A process that answers now has answered on all connections that were established before and are open. */
  async #fetch(server: Server, checked: Checked, upTo: number): Promise<void> {
    const fetch = this.#options.fetchReport ?? fetchReport;
    const report = await fetch(server.entry, CALL_TIMEOUT_MS);
    if (report.isErr || report.value.bornAtMs === undefined) return;
    if (report.value.bornAtMs !== server.entry.bornAtMs) {
      return server.health.processReplaced();
    }
    if (!server.entry.isVersionAssumed) {
      checked.upTo = Math.max(checked.upTo, upTo);
    }
  }
}
