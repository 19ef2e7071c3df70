/**
 * The known instances: the platform's list, which lags, corrected by reports of the agents. An agent
 * that reports that it is leaving gets no new work, whatever state the list shows.
 */
import type { Clock } from "../base/mod.ts";
import { type Member, MemberTable } from "../placement/mod.ts";
import {
  type Instance,
  type InstanceChanges,
  InstanceRole,
  InstanceState,
} from "../backends/instance_list.ts";

/** A backend server that requests can be sent to. */
export interface ServerMember extends Member {
  /** `ip:port` of its agent. */
  address: string;
  pool: string;
}

/** How long an agent's leaving report overrides the list before the agent is asked again. */
const LEAVING_TTL_MS = 5000;
const EMPTY_TABLE = MemberTable.create<ServerMember>([]);

/** All known instances, and the agents of each pool that accept new work. */
export class Members {
  readonly #clock: Clock;
  readonly #instances = new Map<string, Instance>();
  /** Time until which an agent counts as leaving, by instance id. */
  readonly #leavingUntilMs = new Map<string, number>();
  /** Incarnation of the agent process that answered last, by instance id. */
  readonly #incarnations = new Map<string, string>();
  /** Cache of {@link pool}; cleared when a pool may have changed. */
  #tableByPool = new Map<string, MemberTable<ServerMember>>();
  #entryIds: readonly string[] = [];
  #entriesChangedMs = 0;
  #revision = 0;

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param clock Expires the agents' reports.
   * @returns Members without instances.
   */
  static create(clock: Clock): Members {
    return new Members(clock);
  }

  /** Revision of the list that was applied last. */
  get revision(): number {
    return this.#revision;
  }

  /** All known instances, including those that the list shows as gone. */
  get instances(): Instance[] {
    return [...this.#instances.values()];
  }

  /** Ids of the agents that reported that they are leaving. */
  get leavingIds(): string[] {
    return [...this.#leavingUntilMs.keys()];
  }

  /** Time at which the set of live entries last changed. */
  get entriesChangedMs(): number {
    return this.#entriesChangedMs;
  }

  /** Ids of all live entries. */
  get entryIds(): string[] {
    return [...this.#entryIds];
  }

  /** Addresses of all live entries. */
  get entryAddresses(): string[] {
    return this.#entryIds.map((id) => this.#instances.get(id)!.address);
  }

  /** Addresses of all live agents. */
  get agentAddresses(): string[] {
    const agents = this.instances.filter(({ role, state }) =>
      role === InstanceRole.Agent && state === InstanceState.Live
    );
    return agents.map(({ address }) => address);
  }

  /**
   * @param id Id of an instance.
   * @returns Address of the instance; undefined if it is unknown.
   */
  addressOf(id: string): string | undefined {
    return this.#instances.get(id)?.address;
  }

  /**
   * @param pool Name of the pool.
   * @returns The pool's servers that are not known to refuse new work.
   */
  pool(pool: string): MemberTable<ServerMember> {
    this.#dropExpiredLeaving();
    let table = this.#tableByPool.get(pool);
    if (!table) {
      table = this.#buildTable(pool);
      this.#tableByPool.set(pool, table);
    }
    return table;
  }

  /**
   * @param id Id of an instance.
   * @returns Whether the platform's list shows the instance as gone.
   */
  isGone(id: string): boolean {
    return this.#instances.get(id)?.state === InstanceState.Gone;
  }

  /**
   * @param id Id of an instance.
   * @returns Incarnation of the agent process that answered last; empty if none has answered.
   */
  incarnationOf(id: string): string {
    return this.#incarnations.get(id) ?? "";
  }

  /**
   * @param id Id of an instance.
   * @param incarnation Incarnation of the agent process that answered.
   */
  recordIncarnation(id: string, incarnation: string): void {
    if (this.#instances.has(id)) this.#incarnations.set(id, incarnation);
  }

  /** @param changes The whole list, or its changes since {@link revision}. */
  apply(changes: InstanceChanges): void {
    if (changes.full) this.#instances.clear();
    for (const instance of changes.instances) this.#setInstance(instance);
    for (const id of this.#incarnations.keys()) {
      if (!this.#instances.has(id)) this.#incarnations.delete(id);
    }
    this.#revision = changes.revision;
    this.#onInstancesChanged();
  }

  /**
   * Adds instances that seeds report while the list can't be read.
   *
   * @param instances The reported instances.
   * @param options Whether each instance reported itself; otherwise known instances are not changed.
   */
  addReported(
    instances: Instance[],
    { isSelfReported }: { isSelfReported: boolean },
  ): void {
    for (const instance of instances) {
      if (!isSelfReported && this.#instances.has(instance.id)) continue;
      if (isSelfReported) this.#removeFormerAt(instance);
      this.#setInstance(instance);
    }
    this.#onInstancesChanged();
  }

  /** @param id Id of an agent that refused work because it is leaving. */
  markLeaving(id: string): void {
    this.#leavingUntilMs.set(id, this.#clock.nowMs() + LEAVING_TTL_MS);
    this.#tableByPool.clear();
  }

  /** Clears the cached tables and updates the set of live entries. */
  #onInstancesChanged(): void {
    this.#tableByPool.clear();
    const ids = [...this.#instances.values()].filter(isLiveEntry)
      .map(({ id }) => id).sort();
    if (ids.join() === this.#entryIds.join()) return;
    this.#entryIds = ids;
    this.#entriesChangedMs = this.#clock.nowMs();
  }

  /** Removes other instances with this address: the instance that answers there has replaced them. */
  #removeFormerAt({ id, address }: Instance): void {
    for (const earlier of this.#instances.values()) {
      if (earlier.address === address && earlier.id !== id) {
        this.#instances.delete(earlier.id);
      }
    }
  }

  /** Adds or replaces an instance. A changed address ends its agent's report that it is leaving. */
  #setInstance(instance: Instance): void {
    const known = this.#instances.get(instance.id);
    if (known && known.address !== instance.address) {
      this.#leavingUntilMs.delete(instance.id);
    }
    this.#instances.set(instance.id, instance);
  }

  #buildTable(pool: string): MemberTable<ServerMember> {
    const members: ServerMember[] = [];
    for (const instance of this.#instances.values()) {
      const { id, role, zone, address, state } = instance;
      if (role !== InstanceRole.Agent || instance.pool !== pool) continue;
      if (state !== InstanceState.Live) continue;
      if (this.#leavingUntilMs.has(id)) continue;
      members.push({ id, zone, address, pool });
    }
    return members.length > 0 ? MemberTable.create(members) : EMPTY_TABLE;
  }

  #dropExpiredLeaving(): void {
    if (this.#leavingUntilMs.size === 0) return;
    const nowMs = this.#clock.nowMs();
    for (const [id, untilMs] of this.#leavingUntilMs) {
      if (untilMs > nowMs) continue;
      this.#leavingUntilMs.delete(id);
      this.#tableByPool.clear();
    }
  }
}

function isLiveEntry({ role, state }: Instance): boolean {
  return role === InstanceRole.Entry && state === InstanceState.Live;
}
