/** Fuzzing commands: calls of all kinds, and faults of connections, processes and stores. */
import fc from "fast-check";
import { chatBody } from "./_calls.ts";
import type { World } from "./_world.ts";

/** Number of executed commands by name; names of faults start with `fault:`. */
export type CommandCounts = Map<string, number>;

type Model = Record<string, never>;

interface Step {
  name: string;
  run: (world: World) => Promise<void> | void;
}

const MAX_COMMANDS = 40;
const MAX_PAUSE_MS = 120;

/** Command that runs one step; it has no precondition. */
class StepCommand implements fc.AsyncCommand<Model, World> {
  readonly #step: Step;
  readonly #counts: CommandCounts;

  constructor(step: Step, counts: CommandCounts) {
    this.#step = step;
    this.#counts = counts;
  }

  check(): boolean {
    return true;
  }

  async run(_model: Model, world: World): Promise<void> {
    const { name, run } = this.#step;
    const kind = name.split(" ", 1)[0]!;
    this.#counts.set(kind, (this.#counts.get(kind) ?? 0) + 1);
    await run(world);
    world.oracle.checkVersionOrder();
    if (world.oracle.violations.length > 0) {
      throw new Error(world.oracle.violations.join("\n"));
    }
  }

  toString(): string {
    return this.#step.name;
  }
}

/**
 * @param counts Updated with each executed command.
 * @returns Arbitrary that generates sequences of commands.
 */
export function commandRuns(
  counts: CommandCounts,
): fc.Arbitrary<Iterable<fc.AsyncCommand<Model, World>>> {
  const steps = [...callSteps(), ...faultSteps()];
  const commands = steps.map((step) =>
    step.map((value) => new StepCommand(value, counts))
  );
  return fc.commands(commands, { maxCommands: MAX_COMMANDS, size: "max" });
}

const index = fc.nat({ max: 11 });

function callSteps(): fc.Arbitrary<Step>[] {
  const chat = fc.record({
    entry: index,
    prompt: fc.nat({ max: 5 }),
    tokens: fc.integer({ min: 1, max: 80 }),
    isWhole: fc.boolean(),
  }).map((params): Step => ({
    name: `chat ${JSON.stringify(params)}`,
    run: (world) => {
      const body = chatBody(
        `${params.prompt} ${"coat ".repeat(200)}`,
        params.tokens,
      );
      world.runInBackground(
        world.chat(world.entry(params.entry), body, params.isWhole),
      );
    },
  }));
  const booking = fc.record({
    entry: index,
    word: fc.constantFrom("a", "b", "c", "d", "e"),
    variant: fc.constantFrom(0, 0, 0, 1),
    hasKey: fc.constantFrom(true, true, true, false),
  }).map((params): Step => ({
    name: `booking ${JSON.stringify(params)}`,
    run: (world) => {
      const { word, variant, hasKey } = params;
      const slot = world.entry(params.entry);
      world.runInBackground(world.book(slot, { word, variant }, hasKey));
    },
  }));
  const echo = index.map((entry): Step => ({
    name: `echo ${entry}`,
    run: (world) => world.runInBackground(world.echo(world.entry(entry))),
  }));
  const configure = index.map((entry): Step => ({
    name: `configure ${entry}`,
    run: (world) => world.runInBackground(world.configure(world.entry(entry))),
  }));
  const pause = fc.integer({ min: 1, max: MAX_PAUSE_MS }).map((ms): Step => ({
    name: `pause ${ms}`,
    run: () => new Promise((resolve) => setTimeout(resolve, ms)),
  }));
  // Chats, bookings and pauses are listed repeatedly, so that calls make up about half of a run.
  return [chat, booking, echo, configure, pause, chat, booking, booking, pause];
}

function faultSteps(): fc.Arbitrary<Step>[] {
  return [...processFaults(), ...linkFaults(), ...platformFaults()];
}

function processFaults(): fc.Arbitrary<Step>[] {
  return [
    fault("engine-crash", index, (world, at) => {
      const { engines } = world.fleet;
      engines[at % engines.length]!.crash();
    }),
    fault("agent-crash", index, (world, at) => {
      const slot = world.agentSlot(at);
      world.runExclusively(slot.id, () => world.fleet.crashAgent(slot));
    }),
    fault("agent-drain", index, (world, at) => {
      const slot = world.agentSlot(at);
      world.runExclusively(slot.id, () => world.fleet.replaceAgent(slot));
    }),
    fault("entry-crash", index, (world, at) => {
      const slot = world.entry(at);
      world.runExclusively(slot.id, () => world.fleet.crashEntry(slot));
    }),
  ];
}

function linkFaults(): fc.Arbitrary<Step>[] {
  // `seat` is the index of an agent slot; the name is part of printed commands.
  const link = fc.record({ entry: index, seat: index });
  return [
    fault("freeze", link, (world, { entry, seat }) => {
      const { links } = world.entry(entry);
      links[seat % links.length]!.freezeOpen();
    }),
    fault("cut", link, (world, { entry, seat }) => {
      const { links } = world.entry(entry);
      links[seat % links.length]!.cutOpen();
    }),
    fault("list", fc.record({ entry: index, isUp: fc.boolean() }), (
      world,
      { entry, isUp },
    ) => {
      const slot = world.entry(entry);
      if (!slot.isUp) return;
      return isUp ? slot.list.up() : slot.list.down();
    }),
  ];
}

function platformFaults(): fc.Arbitrary<Step>[] {
  const kv = fc.constantFrom(
    { down: true },
    { down: false },
    { silent: true },
    { silent: false },
    { loseNextAnswer: true },
    { loseNextRequest: true },
    { slowMs: 20 },
  );
  const lostMessages = fc.record({
    seat: index,
    fault: fc.constantFrom({ dropAnswers: 1 }, { dropRequests: 1 }),
  });
  const events = fc.record({
    seat: index,
    loseEvents: fc.nat({ max: 5 }),
    lateEventsMs: fc.nat({ max: 50 }),
  });
  return [
    fault("store", kv, (world, faults) => world.fleet.kv.setFaults(faults)),
    fault("service", lostMessages, (world, { seat, fault: faults }) => {
      const { services } = world.fleet;
      return services[seat % services.length]!.setFaults(faults);
    }),
    fault("cache-events", events, (world, { seat, ...faults }) => {
      const { engines } = world.fleet;
      return engines[seat % engines.length]!.setFaults(faults);
    }),
  ];
}

function fault<T>(
  name: string,
  params: fc.Arbitrary<T>,
  run: (world: World, params: T) => Promise<void> | void,
): fc.Arbitrary<Step> {
  return params.map((value) => ({
    name: `fault:${name} ${JSON.stringify(value)}`,
    run: (world) => run(world, value),
  }));
}
