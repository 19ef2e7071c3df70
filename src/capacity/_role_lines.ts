/** Estimates of CPU, memory, network and store use: one line per component of each role. */
import { type CapacityLine, Resource, Role, type SlopeTable } from "./line.ts";
import {
  ASSUMPTIONS,
  configChangesPerSecond,
  instanceChangesPerSecond,
  PLAN,
} from "./sizes.ts";

const ENTRY_REQUESTS = PLAN.requestsPerSecond / PLAN.entries;
const AGENT_REQUESTS = PLAN.requestsPerSecond / PLAN.workers;
const ASKS_PER_REQUEST = ASSUMPTIONS.asksPerRequest;
const ENTRY_ASKS = ENTRY_REQUESTS * ASKS_PER_REQUEST;
const AGENT_ASKS = AGENT_REQUESTS * ASKS_PER_REQUEST;
const BLOCKS_PER_WORKER = PLAN.cachedBlocks / PLAN.workers;
const EVENTS_PER_WORKER = PLAN.cacheEventsPerSecond / PLAN.workers;
const TEAMS = PLAN.workspaces / ASSUMPTIONS.workspacesPerTeam;
const ENTRIES_PER_REGION = PLAN.entries / PLAN.regions;
const CLAIMS = PLAN.requestsPerSecond * ASSUMPTIONS.atMostOnceShare;
/** The `x` values of `process_resident_bytes`, each a kind of process. */
const RESIDENT_NODE = 0;
const RESIDENT_AGENT = 1;
const RESIDENT_ENTRY = 2;
const US_PER_CORE_PERCENT = 10_000;
const BYTES_PER_MB = 1_000_000;
const BYTES_PER_KB = 1_000;

/** @returns Estimated resource use of one entry. */
export function entryLines(table: SlopeTable): CapacityLine[] {
  const { core, memory, network } = lineBuilders(Role.Entry);
  const connections = Math.min(
    ASSUMPTIONS.membersPerEntry,
    ENTRY_ASKS * ASSUMPTIONS.connectionIdleS,
    ASSUMPTIONS.connectionLimit,
  );
  return [
    core(
      "asking candidates",
      "a few computed candidates, the truth asked for where it is",
      table.cost("ask_client_us", ENTRY_ASKS),
      ["ask_client_us"],
    ),
    core(
      "computing candidates",
      "rendezvous hashing over the region's members",
      ENTRY_REQUESTS *
        table.costWithIntercept("candidates_us", ASSUMPTIONS.membersPerEntry),
      ["candidates_us"],
    ),
    core(
      "hashing prompts",
      "chain of blocks, sparse points on the wire",
      table.cost("chain_us_per_kb", ENTRY_REQUESTS * ASSUMPTIONS.promptKb),
      ["chain_us_per_kb"],
    ),
    core(
      "applying branches",
      "one watch, highest revision wins",
      configChangesPerSecond() *
        table.costWithIntercept("branch_apply_us", ASSUMPTIONS.branchKb),
      ["branch_apply_us"],
    ),
    core(
      "comparing versions with peers",
      "digest exchange with two peers a second, each taken as an ask; team limits ride along",
      (table.cost("ask_client_us", 1) + table.cost("ask_server_us", 1)) *
        ASSUMPTIONS.exchangesPerSecond,
      ["ask_client_us", "ask_server_us"],
    ),
    memory(
      "code and libraries above a bare Node process",
      "not reduced yet",
      residentAboveNode(table, RESIDENT_ENTRY),
      ["process_resident_bytes"],
    ),
    memory(
      "members",
      "the region's rows of the list, as deltas",
      table.cost("member_bytes", ASSUMPTIONS.membersPerEntry),
      ["member_bytes"],
    ),
    memory(
      "team branches",
      "every branch, parsed once",
      TEAMS * table.costWithIntercept("branch_bytes", ASSUMPTIONS.branchKb),
      ["branch_bytes"],
    ),
    memory(
      "connections to agents",
      `opened on demand, closed when idle, at most ${ASSUMPTIONS.connectionLimit}`,
      table.cost("connection_client_bytes", connections),
      ["connection_client_bytes"],
    ),
    memory(
      "hints",
      "bounded table of own traffic",
      table.cost("hint_bytes", ASSUMPTIONS.hintLimit),
      ["hint_bytes"],
    ),
    network(
      "asks and offers",
      "as above",
      table.cost("ask_bytes", ENTRY_ASKS),
      ["ask_bytes"],
    ),
    network(
      "branches",
      "one watch of the store, a change once",
      configChangesPerSecond() * ASSUMPTIONS.branchKb * BYTES_PER_KB,
      [],
    ),
    network(
      "version digests",
      "hash of all versions; pairs only when it differs",
      table.cost("ask_bytes", 2 * ASSUMPTIONS.exchangesPerSecond),
      ["ask_bytes"],
    ),
    network(
      "list of instances",
      "deltas by long poll",
      instanceChangesPerSecond() / PLAN.regions * ASSUMPTIONS.instanceRowBytes,
      [],
    ),
  ];
}

/** @returns Estimated resource use of one agent. */
export function agentLines(table: SlopeTable): CapacityLine[] {
  const { core, memory, network } = lineBuilders(Role.Agent);
  return [
    core(
      "answering asks",
      "the truth is asked for where it is",
      table.cost("ask_server_us", AGENT_ASKS),
      ["ask_server_us"],
    ),
    core(
      "watching the engine and its cache events",
      "followed beside the engine, never sent on",
      table.costWithIntercept("agent_event_us", EVENTS_PER_WORKER),
      ["agent_event_us"],
    ),
    memory(
      "code and libraries above a bare Node process",
      "not reduced yet",
      residentAboveNode(table, RESIDENT_AGENT),
      ["process_resident_bytes"],
    ),
    memory(
      "cache view",
      "one 64-bit key for each cached block",
      table.cost("cache_block_bytes", BLOCKS_PER_WORKER),
      ["cache_block_bytes"],
    ),
    memory(
      "connections from entries",
      "the region's entries only",
      table.cost("connection_server_bytes", ENTRIES_PER_REGION),
      ["connection_server_bytes"],
    ),
    memory(
      "team branches",
      "only teams that send requests here",
      ASSUMPTIONS.teamsPerAgent *
        table.costWithIntercept("branch_bytes", ASSUMPTIONS.branchKb),
      ["branch_bytes"],
    ),
    network(
      "asks and offers",
      "as above",
      table.cost("ask_bytes", AGENT_ASKS),
      ["ask_bytes"],
    ),
    network(
      "branches",
      "pushed with the first request under a new version",
      configChangesPerSecond() * ASSUMPTIONS.teamsPerAgent / TEAMS *
        ASSUMPTIONS.branchKb * BYTES_PER_KB,
      [],
    ),
  ];
}

/** @returns Estimated load on the key-value service. */
export function storeLines(table: SlopeTable): CapacityLine[] {
  const { line } = lineBuilders(Role.Store);
  const claimsPerOwner = CLAIMS / ASSUMPTIONS.journalOwners;
  const journalCommits = ASSUMPTIONS.journalOwners *
    Math.min(
      table.cost("journal_commits", claimsPerOwner),
      ASSUMPTIONS.commitsPerOwner,
    );
  return [
    line(
      Resource.Writes,
      "claims journal",
      "one commit in flight an owner, shared by claims that wait",
      journalCommits,
      ["journal_commits"],
    ),
    line(
      Resource.Writes,
      "changes of configuration",
      "one compare-and-swap a change",
      configChangesPerSecond(),
      [],
    ),
    line(
      Resource.Writes,
      "leases of model planners",
      "one lease a pool",
      ASSUMPTIONS.pools * ASSUMPTIONS.leaseRenewalsPerMinute / 60,
      [],
    ),
    line(
      Resource.Reads,
      "waiting watches",
      "entries watch, agents do not; counted as one call a second each",
      PLAN.entries,
      [],
    ),
    line(
      Resource.Reads,
      "lists on start",
      "one list an entry start, none an agent start",
      PLAN.entries / (PLAN.entries + PLAN.workers) * instanceChangesPerSecond(),
      [],
    ),
    line(
      Resource.Reads,
      "journal takeovers",
      "one list for each shard of a lost owner",
      (PLAN.failuresPerDay + PLAN.restartsPerDay) / 86_400 *
        ASSUMPTIONS.shardsPerOwner,
      [],
    ),
  ];
}

/** @returns Resident memory of a process beyond that of an idle Node process, in bytes. */
function residentAboveNode(table: SlopeTable, process: number): number {
  const resident = (x: number) => table.valueAt("process_resident_bytes", x);
  return resident(process) - resident(RESIDENT_NODE);
}

function lineBuilders(role: Role) {
  const line = (
    resource: Resource,
    what: string,
    mechanism: string,
    amount: number,
    slopes: string[],
  ): CapacityLine => ({ role, resource, what, mechanism, amount, slopes });
  const scaledLine = (resource: Resource, divisor: number) =>
  (
    what: string,
    mechanism: string,
    amount: number,
    slopes: string[],
  ) => line(resource, what, mechanism, amount / divisor, slopes);
  return {
    line,
    /** Takes the amount in µs of CPU time per second. */
    core: scaledLine(Resource.Processor, US_PER_CORE_PERCENT),
    /** Takes the amount in bytes. */
    memory: scaledLine(Resource.Memory, BYTES_PER_MB),
    /** Takes the amount in bytes per second. */
    network: scaledLine(Resource.Network, BYTES_PER_KB),
  };
}
