/**
 * Measures what entries pay for knowing which software began the streams of others, and how many
 * take-ups are known. Run `node --import tsx src/router/_measure_origins.ts`; it prints one line per
 * scenario, number of entries and loss of datagrams: the part of the take-ups that is known, datagrams,
 * bytes and processor time per stream that begins, and datagrams per take-up.
 */
import process from "node:process";
import { seededRandom } from "../base/random.ts";
import { OriginFleet } from "./_origin_fleet.ts";

const ENTRY_COUNTS = [4, 30, 360];
const LOSS_SHARES = [0, 0.05, 0.3];
const SEED = 1;
/** Streams that begin together; few, as their take-ups follow one after the other in virtual time. */
const STREAMS = 30;
const ROUNDS = 100;

interface Scenario {
  name: string;
  versions: string[];
  /** Part of the entries that end once the streams have begun, beside the one that began them. */
  goneShare: number;
}

const SCENARIOS: Scenario[] = [
  { name: "one version, first entry gone", versions: ["v1"], goneShare: 0 },
  { name: "first entry gone", versions: ["v1", "v2"], goneShare: 0 },
  {
    name: "and a quarter of the others",
    versions: ["v1", "v2"],
    goneShare: 0.25,
  },
];

async function main(): Promise<void> {
  for (const scenario of SCENARIOS) {
    for (const entryCount of ENTRY_COUNTS) {
      for (const lossShare of LOSS_SHARES) {
        const cells = await measure(scenario, { entryCount, lossShare });
        const head = [scenario.name, entryCount, lossShare];
        console.log([...head, ...cells].join(" | "));
      }
    }
  }
}

async function measure(
  { versions, goneShare }: Scenario,
  { entryCount, lossShare }: { entryCount: number; lossShare: number },
): Promise<string[]> {
  const random = seededRandom(SEED);
  const fleet = OriginFleet.create({ entryCount, random, lossShare });
  for (const version of versions) fleet.join(version, `i-${version}`);
  const [first, ...others] = fleet.entries;
  const version = versions.at(-1)!;
  const told = { datagrams: 0, bytes: 0, cpuUs: 0 };
  const goneCount = Math.floor(goneShare * others.length);
  const alive = others.slice(goneCount);
  let knownCount = 0;
  for (let round = 0; round < ROUNDS; round++) {
    fleet.gone.clear();
    fleet.gossip();
    const ids = Array.from({ length: STREAMS }, (_, i) => `s-${round}-${i}`);
    const before = { ...fleet.sent };
    const usedFrom = process.cpuUsage();
    for (const id of ids) fleet.begin(first!, id, version);
    const { user, system } = process.cpuUsage(usedFrom);
    told.cpuUs += user + system;
    told.datagrams += fleet.sent.datagrams - before.datagrams;
    told.bytes += fleet.sent.bytes - before.bytes;
    for (const { address } of [first!, ...others.slice(0, goneCount)]) {
      fleet.gone.add(address);
    }
    for (const [i, id] of ids.entries()) {
      const found = await fleet.takeUp(alive[i % alive.length]!, id);
      if (found.endsWith(` ${version}`)) knownCount++;
    }
  }
  const streams = ROUNDS * STREAMS;
  const asked = fleet.sent.datagrams - told.datagrams;
  return [
    (knownCount / streams).toFixed(3),
    (told.datagrams / streams).toFixed(2),
    (told.bytes / streams).toFixed(0),
    `${(told.cpuUs / streams).toFixed(0)} us`,
    (asked / streams).toFixed(2),
  ];
}

main().catch((error: unknown) => {
  console.error(error);
  process.exitCode = 1;
});
