/**
 * Generates the Veldhoven workload: planners send six reviews for each work package, permits are
 * classified, and the control room looks up two active shutdowns and, less often, other plants.
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

const PLANNERS_PER_S = 1.4;
const PERMITS_PER_S = 6;
const SHUTDOWN_LOOKUPS_PER_S = 12;
const OTHER_LOOKUPS_PER_S = 1.5;
const REVIEWS = 6;
const REVIEW_GAP_MS = 5_000;
const OTHER_LOOKUPS = 4;
const LOOKUP_GAP_MS = 1_500;
const PLANTS_PER_FIRM = 3;
const FIRM_BYTES = 4_000;
const PLANT_BYTES = 12_000;
const PACKAGE_BYTES = [24_000, 48_000] as const;
const SHUTDOWN_BYTES = 8_000;
const REVIEW_BYTES = [500, 1_500] as const;
const PERMIT_BYTES = [800, 1_600] as const;
const LOOKUP_BYTES = [256, 512] as const;

const POOLS: PoolPlan[] = [
  { name: "planner", workers: 6, cacheBlocks: 2_048 },
  { name: "control", workers: 3, cacheBlocks: 1_024 },
];

const CONTROL: ClassPlan = {
  name: "control",
  pool: "control",
  priority: "urgent",
  deadlineMs: 4_000,
  recomputePriceMs: 0.3,
  outputTokens: 30,
};
const PERMIT: ClassPlan = {
  name: "permit",
  pool: "planner",
  priority: "normal",
  deadlineMs: 30_000,
  recomputePriceMs: 0.5,
  outputTokens: 10,
};
const REVIEW: ClassPlan = {
  name: "review",
  pool: "planner",
  priority: "batch",
  deadlineMs: 120_000,
  recomputePriceMs: 1,
  outputTokens: 300,
};

interface Plant {
  firm: Site;
  text: string;
}

interface GeneratorContext {
  random: Random;
  promptBuilder: PromptBuilder;
  requests: RequestPlan[];
}

/**
 * @param seed Seed of the random generator.
 * @param options Changes to rates, worker counts and latency.
 * @returns The generated workload.
 */
export function buildVeldhoven(
  seed: number,
  options: LoadOptions = {},
): Workload {
  const factor = rateFactor(options);
  const random = Random.create(seed);
  const context: GeneratorContext = {
    random,
    promptBuilder: PromptBuilder.create(),
    requests: [],
  };
  const plants = buildSites(random, FIRM_BYTES).flatMap(buildPlants);
  const weights = zipfWeights(plants.length, 0.7);
  const anyPlant = () => plants[random.weightedIndex(weights)]!;
  poissonArrivals(
    random,
    factor * PLANNERS_PER_S,
    (atMs) => addReviews(context, anyPlant(), atMs),
  );
  poissonArrivals(
    random,
    factor * PERMITS_PER_S,
    (atMs) => addPermit(context, anyPlant(), atMs),
  );
  const shutdowns = [7, 31, 19, 40].map((at) => plants[at]!).map((plant) => ({
    plant,
    text: random.text(SHUTDOWN_BYTES),
  }));
  poissonArrivals(random, factor * SHUTDOWN_LOOKUPS_PER_S, (atMs) => {
    const first = atMs < EVENT_TIMES.shiftMs ? 0 : 2;
    const { plant, text } = shutdowns[first + (random.next() < 0.7 ? 0 : 1)]!;
    addLookups(context, [plant.firm.text, plant.text, text], {
      plant,
      atMs,
      count: 1,
    });
  });
  poissonArrivals(random, factor * OTHER_LOOKUPS_PER_S, (atMs) => {
    const plant = anyPlant();
    const texts = [plant.firm.text, plant.text, random.text(SHUTDOWN_BYTES)];
    addLookups(context, texts, { plant, atMs, count: OTHER_LOOKUPS });
  });
  context.requests.sort((a, b) => a.atMs - b.atMs);
  return {
    name: WorkloadName.Veldhoven,
    pools: scalePools(POOLS, options),
    classes: [CONTROL, PERMIT, REVIEW],
    zones: ["zone-a", "zone-b", "zone-c"],
    zoneRttMs: options.zoneRttMs ?? 1.5,
    requests: context.requests.filter(({ atMs }) => atMs < EVENT_TIMES.endMs),
    events: EVENT_TIMES,
  };
}

function buildPlants(firm: Site): Plant[] {
  return Array.from({ length: PLANTS_PER_FIRM }, () => ({
    firm,
    text: firm.random.text(PLANT_BYTES),
  }));
}

function addReviews(
  context: GeneratorContext,
  plant: Plant,
  startMs: number,
): void {
  const { random } = context;
  const workPackage = random.text(random.nextInt(...PACKAGE_BYTES));
  let atMs = startMs;
  for (let i = 0; i < REVIEWS; i++) {
    const question = random.text(random.nextInt(...REVIEW_BYTES));
    const texts = [plant.firm.text, plant.text, workPackage, question];
    addRequest(context, REVIEW, { plant, texts, atMs });
    atMs += random.exponential(REVIEW_GAP_MS);
  }
}

function addPermit(
  context: GeneratorContext,
  plant: Plant,
  atMs: number,
): void {
  const permit = context.random.text(context.random.nextInt(...PERMIT_BYTES));
  addRequest(context, PERMIT, {
    plant,
    texts: [plant.firm.text, plant.text, permit],
    atMs,
  });
}

function addLookups(
  context: GeneratorContext,
  prefix: string[],
  { plant, atMs, count }: { plant: Plant; atMs: number; count: number },
): void {
  for (let i = 0; i < count; i++) {
    const question = context.random.text(
      context.random.nextInt(...LOOKUP_BYTES),
    );
    addRequest(context, CONTROL, { plant, texts: [...prefix, question], atMs });
    atMs += context.random.exponential(LOOKUP_GAP_MS);
  }
}

function addRequest(
  context: GeneratorContext,
  plan: ClassPlan,
  { plant, texts, atMs }: { plant: Plant; texts: string[]; atMs: number },
): void {
  const { workspace } = plant.firm;
  const owner = { team: "veldhoven", workspace, model: plan.pool };
  context.requests.push({
    atMs,
    class: plan,
    ...context.promptBuilder.build(owner, texts, plan),
  });
}
