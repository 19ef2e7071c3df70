/**
 * Generates the Lakeshore workload: visits to pet salons. Each visit sends two front desk lookups,
 * one urgent walk-in note and four ordinary notes about the same pet.
 */
import { Random, zipfWeights } from "./random.ts";
import {
  buildSites,
  type ClassPlan,
  EVENT_TIMES,
  type LoadOptions,
  poissonArrivals,
  type PoolPlan,
  PromptBuilder,
  rateFactor,
  type RequestPlan,
  scalePools,
  type Site,
  type Workload,
  WorkloadName,
} from "./workload.ts";

const VISITS_PER_S = 5;
const SALON_BYTES = 6_000;
const PET_BYTES = [6_000, 12_000] as const;
const DESK_QUESTION_BYTES = [256, 512] as const;
const NOTE_BYTES = [1_000, 3_000] as const;
const PETS_PER_SALON = 60;
const MEAN_GAP_MS = 1_500;
/** Share of visits that go to the busiest salon; a different salon is busiest after the shift. */
const HOT_SHARE = 0.3;

const POOLS: PoolPlan[] = [
  { name: "notes", workers: 8, cacheBlocks: 1_024 },
  { name: "desk", workers: 3, cacheBlocks: 1_024 },
];

const DESK: ClassPlan = {
  name: "desk",
  pool: "desk",
  priority: "urgent",
  deadlineMs: 4_000,
  recomputePriceMs: 0.3,
  outputTokens: 40,
};
const WALK_IN: ClassPlan = {
  name: "walk-in",
  pool: "notes",
  priority: "urgent",
  deadlineMs: 6_000,
  recomputePriceMs: 0.3,
  outputTokens: 60,
};
const NOTES: ClassPlan = {
  name: "notes",
  pool: "notes",
  priority: "normal",
  deadlineMs: 15_000,
  recomputePriceMs: 0.5,
  outputTokens: 120,
};

/**
 * @param seed Seed of the random generator.
 * @param options Changes to rates, worker counts and latency.
 * @returns The generated workload.
 */
export function buildLakeshore(
  seed: number,
  options: LoadOptions = {},
): Workload {
  const random = Random.create(seed);
  const promptBuilder = PromptBuilder.create();
  const salons = buildSites(random, SALON_BYTES);
  const pets = salons.map((salon) => buildPets(salon));
  const salonWeights = zipfWeights(salons.length, 0.7);
  const petWeights = zipfWeights(PETS_PER_SALON, 0.7);
  const requests: RequestPlan[] = [];
  poissonArrivals(random, VISITS_PER_S * rateFactor(options), (startMs) => {
    const hotSalonIndex = startMs < EVENT_TIMES.shiftMs ? 3 : 11;
    const isHot = random.next() < HOT_SHARE;
    const salonIndex = isHot
      ? hotSalonIndex
      : random.weightedIndex(salonWeights);
    const salon = salons[salonIndex]!;
    const pet = pets[salonIndex]![random.weightedIndex(petWeights)]!;
    let atMs = startMs;
    for (const plan of [DESK, DESK, WALK_IN, NOTES, NOTES, NOTES, NOTES]) {
      const owner = {
        team: "lakeshore",
        workspace: salon.workspace,
        model: plan.pool,
      };
      const [least, most] = plan === DESK ? DESK_QUESTION_BYTES : NOTE_BYTES;
      const texts = [salon.text, pet, random.text(random.nextInt(least, most))];
      requests.push({
        atMs,
        class: plan,
        ...promptBuilder.build(owner, texts, plan),
      });
      atMs += random.exponential(MEAN_GAP_MS);
    }
  });
  requests.sort((a, b) => a.atMs - b.atMs);
  return {
    name: WorkloadName.Lakeshore,
    pools: scalePools(POOLS, options),
    classes: [DESK, WALK_IN, NOTES],
    zones: ["zone-a", "zone-b", "zone-c"],
    zoneRttMs: options.zoneRttMs ?? 0.5,
    requests: requests.filter(({ atMs }) => atMs < EVENT_TIMES.endMs),
    events: EVENT_TIMES,
  };
}

function buildPets({ random }: Site): string[] {
  return Array.from(
    { length: PETS_PER_SALON },
    () => random.text(random.nextInt(...PET_BYTES)),
  );
}
