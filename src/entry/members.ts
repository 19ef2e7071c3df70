/**
 * Who there is: the platform's lagging list, corrected by what the agents themselves say. An agent
 * that says it is leaving gets no new work, whatever the list shows.
 */
import type { Clock } from "../base/mod.ts";
import { type Member, MemberTable } from "../placement/mod.ts";
import {
  type Instance,
  type InstanceChanges,
  InstanceRole,
  InstanceState,
} from "../backends/instances.ts";

/** A backend server that requests can be sent to. */
export interface ServerMember extends Member {
  /** `ip:port` of its agent. */
  address: string;
  pool: string;
}

/** How long an agent's own word counts against the list before it is asked again. */
const LEAVING_MS = 5000;
const NO_MEMBERS = MemberTable.create<ServerMember>([]);

/** Instances by pool. */
export class Members {
  readonly #clock: Clock;
  readonly #instances = new Map<string, Instance>();
  /** Until when an agent counts as leaving, by instance id. */
  readonly #leavingUntilMs = new Map<string, number>();
  /** The agent process last heard of, by instance id. */
  readonly #incarnations = new Map<string, string>();
  #tables = new Map<string, MemberTable<ServerMember>>();
  #entryIds: readonly string[] = [];
  #entriesChangedMs = 0;
  #revision = 0;

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param clock Ends corrections.
   * @returns Members without anyone.
   */
  static create(clock: Clock): Members {
    return new Members(clock);
  }

  /** Revision of the list. */
  get revision(): number {
    return this.#revision;
  }

  /** All known instances, those that are gone included while the list shows them. */
  get instances(): Instance[] {
    return [...this.#instances.values()];
  }

  /** Agents that said themselves that they are leaving. */
  get leavingIds(): string[] {
    return [...this.#leavingUntilMs.keys()];
  }

  /** When the set of live entries last changed. */
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
   * @param id An instance.
   * @returns Its address, unless it is unknown.
   */
  addressOf(id: string): string | undefined {
    return this.#instances.get(id)?.address;
  }

  /**
   * @param pool The pool's name.
   * @returns Its servers that take new work, as far as known.
   */
  pool(pool: string): MemberTable<ServerMember> {
    this.#expireLeaving();
    let table = this.#tables.get(pool);
    if (!table) {
      table = this.#buildTable(pool);
      this.#tables.set(pool, table);
    }
    return table;
  }

  /**
   * @param id An instance.
   * @returns Whether the platform says that it is gone.
   */
  isGone(id: string): boolean {
    return this.#instances.get(id)?.state === InstanceState.Gone;
  }

  /**
   * @param id An instance.
   * @returns The agent process that last answered there; empty: none did.
   */
  incarnationOf(id: string): string {
    return this.#incarnations.get(id) ?? "";
  }

  /**
   * @param id An instance.
   * @param incarnation The agent process that answered there.
   */
  noteIncarnation(id: string, incarnation: string): void {
    if (this.#instances.has(id)) this.#incarnations.set(id, incarnation);
  }

  /** @param changes What the list says. */
  apply(changes: InstanceChanges): void {
    if (changes.full) this.#instances.clear();
    for (const instance of changes.instances) this.#put(instance);
    for (const id of this.#incarnations.keys()) {
      if (!this.#instances.has(id)) this.#incarnations.delete(id);
    }
    this.#revision = changes.revision;
    this.#noteChange();
  }

  /**
   * Takes in instances learned from others while the list can't be read.
   *
   * @param instances What they know.
   * @param options Whether they speak of themselves; else, rows that are known already stay.
   */
  learn(
    instances: Instance[],
    { isFirsthand }: { isFirsthand: boolean },
  ): void {
    for (const instance of instances) {
      if (!isFirsthand && this.#instances.has(instance.id)) continue;
      if (isFirsthand) this.#removeEarlier(instance);
      this.#put(instance);
    }
    this.#noteChange();
  }

  /** @param id An agent that refused work because it is leaving. */
  markLeaving(id: string): void {
    this.#leavingUntilMs.set(id, this.#clock.nowMs() + LEAVING_MS);
    this.#tables.clear();
  }

  #noteChange(): void {
    this.#tables.clear();
    const ids = [...this.#instances.values()].filter(isLiveEntry)
      .map(({ id }) => id).sort();
    if (ids.join() === this.#entryIds.join()) return;
    this.#entryIds = ids;
    this.#entriesChangedMs = this.#clock.nowMs();
  }

  /** Who answers at an address has taken the place of whoever was there before. */
  #removeEarlier({ id, address }: Instance): void {
    for (const earlier of this.#instances.values()) {
      if (earlier.address === address && earlier.id !== id) {
        this.#instances.delete(earlier.id);
      }
    }
  }

  #put(instance: Instance): void {
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
    return members.length > 0 ? MemberTable.create(members) : NO_MEMBERS;
  }

  #expireLeaving(): void {
    if (this.#leavingUntilMs.size === 0) return;
    const nowMs = this.#clock.nowMs();
    for (const [id, untilMs] of this.#leavingUntilMs) {
      if (untilMs > nowMs) continue;
      this.#leavingUntilMs.delete(id);
      this.#tables.clear();
    }
  }
}

function isLiveEntry({ role, state }: Instance): boolean {
  return role === InstanceRole.Entry && state === InstanceState.Live;
}
