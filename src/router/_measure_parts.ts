/**
 * Measures what entries tell each other about the parts of prompts when a server crashes that runs as
 * many requests as it has slots. Run `node --import tsx src/router/_measure_parts.ts`; it prints one
 * line per scenario and number of entries: datagrams and bytes that an entry receives per crash,
 * processor time per crash and entry, and for the time after the last crash, until a sound part is
 * answered everywhere.
 */
import process from "node:process";
import { seededRandom } from "../base/random.ts";
import { requestWith, SuspectSimulation } from "./_suspect_simulation.ts";

const ENTRY_COUNTS = [4, 30, 360];
const SLOTS = 64;
/** Parts of a prompt that other requests share, and how many different ones each of them has. */
const PART_CHOICES = [20, 400, 20_000];
const CRASHES = 5;
/** Time between two crashes. */
const PAUSE_TICKS = 20;
const SEED = 1;
const ID_LENGTH = 8;

interface Scenario {
  name: string;
  /** Whether the shared parts were answered shortly before. */
  isWarm: boolean;
  crashes: number;
}

const SCENARIOS: Scenario[] = [
  { name: "no crash", isWarm: true, crashes: 0 },
  { name: "parts answered before", isWarm: true, crashes: CRASHES },
  { name: "no part answered before", isWarm: false, crashes: CRASHES },
];

async function main(): Promise<void> {
  for (const scenario of SCENARIOS) {
    for (const entryCount of ENTRY_COUNTS) {
      const cells = await measure(scenario, entryCount);
      console.log([scenario.name, entryCount, ...cells].join(" | "));
    }
  }
}

async function measure(
  { isWarm, crashes }: Scenario,
  entryCount: number,
): Promise<string[]> {
  const random = seededRandom(SEED);
  const world = SuspectSimulation.create({ entryCount, loss: 0, random });
  const { entries } = world;
  const startedAt = process.cpuUsage();
  for (let i = 0; i < Math.max(1, crashes); i++) {
    if (isWarm) answerAll(world, random);
    for (let tick = 0; tick < PAUSE_TICKS; tick++) await world.step();
    if (crashes === 0) continue;
    const lost = new Map(entries.map((entry) => [entry, [] as string[]]));
    for (let run = 0; run < SLOTS; run++) {
      const entry = entries[Math.floor(random() * entryCount)]!;
      lost.get(entry)!.push(...drawParts(random));
    }
    lost.get(entries[0]!)!.push("bad00000");
    world.crash(lost);
  }
  for (let tick = 0; tick < PAUSE_TICKS; tick++) await world.step();
  const { user, system } = process.cpuUsage(startedAt);
  const { datagrams, bytes } = world.partNews;
  // Each datagram is received by every other entry.
  const per = Math.max(1, crashes);
  const receivedShare = (entryCount - 1) / entryCount;
  const cpuUs = (user + system) / entryCount / per;
  return [
    `${(datagrams * receivedShare / per).toFixed(0)} datagrams`,
    `${(bytes * receivedShare / per / 1000).toFixed(1)} KB`,
    `${cpuUs.toFixed(0)} us`,
  ];
}

/** One answer of each of the most common parts at every entry. */
function answerAll({ entries }: SuspectSimulation, random: () => number): void {
  for (const { quarantine } of entries) {
    for (let i = 0; i < SLOTS; i++) {
      quarantine.parts.answered(requestWith(...drawParts(random)));
    }
  }
}

function drawParts(random: () => number): string[] {
  return PART_CHOICES.map((choices) => {
    const number = Math.floor(random() ** 2 * choices);
    return `${choices}-${number}`.padEnd(ID_LENGTH, "0");
  });
}

main().catch((error: unknown) => {
  console.error(error);
  process.exitCode = 1;
});
