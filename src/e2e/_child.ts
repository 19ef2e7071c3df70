/** Runs programs of this package as child processes, for tests and benchmarks. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { readFileSync } from "node:fs";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

const START_TIMEOUT_MS = 30_000;
const STOP_TIMEOUT_MS = 30_000;
const MAX_LOG_LINES = 200;
const CLOCK_TICKS_PER_SECOND = 100;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** Options of a child process. */
export interface ProgramOptions {
  /** File below `src` without its extension, such as `cli/main`. */
  program: string;
  args: string[];
  /** File below `src` without its extension that the process loads first. */
  preload?: string;
  /** Additional environment variables. */
  variables?: Record<string, string>;
}

/** Exit status of a process. */
export interface ExitStatus {
  code: number | null;
  signal: NodeJS.Signals | null;
}

/** A child process failed to start or to respond. */
export class ChildError extends Error {}

/** A program that runs as a child process. */
export class Child {
  readonly #process: ChildProcess;
  readonly #log: string[] = [];
  readonly exited: Promise<ExitStatus>;
  #firstLine: Promise<string>;

  private constructor(child: ChildProcess) {
    this.#process = child;
    this.exited = once(child, "close").then(([code, signal]) => ({
      code,
      signal,
    }));
    createInterface({ input: child.stderr! }).on("line", (line) => {
      this.#log.push(line);
      if (this.#log.length > MAX_LOG_LINES) this.#log.shift();
    });
    const lines = createInterface({ input: child.stdout! });
    this.#firstLine = once(lines, "line").then(([line]) => line);
    this.#firstLine.catch(() => {});
  }

  /**
   * @param options Program to start; runs from TypeScript if this file does, else from the build.
   * @returns The process, which may not be ready yet.
   */
  static create(options: ProgramOptions): Child {
    const env = { ...process.env, ...options.variables };
    delete env["NODE_TEST_CONTEXT"];
    const args = [...programArgs(options), ...options.args];
    const stdio = ["ignore", "pipe", "pipe"] as const;
    return new Child(
      spawn(process.execPath, args, { env, stdio: [...stdio] }),
    );
  }

  /** Last lines of standard error. */
  get log(): string {
    return this.#log.join("\n");
  }

  /** Process id. */
  get pid(): number {
    return this.#process.pid!;
  }

  /** @returns Parsed JSON of the first line on standard output, which a program prints once ready. */
  async started<T>(): Promise<T> {
    const exit = this.exited.then(({ code }) => {
      throw new ChildError(
        `Process exited during startup with code ${code}: ${this.log}`,
      );
    });
    const timeout = rejectAfter(
      START_TIMEOUT_MS,
      () => `Process did not start in time: ${this.log}`,
    );
    const line = await Promise.race([this.#firstLine, exit, timeout.promise])
      .finally(timeout.cancel);
    return JSON.parse(line);
  }

  /** @param signal Signal that is sent to this process only, not to its children. */
  kill(signal: NodeJS.Signals): void {
    this.#process.kill(signal);
  }

  /** @returns Exit status after SIGTERM, or after SIGKILL if the process does not stop in time. */
  async stop(): Promise<ExitStatus> {
    this.kill("SIGTERM");
    const timer = setTimeout(() => this.kill("SIGKILL"), STOP_TIMEOUT_MS);
    return await this.exited.finally(() => clearTimeout(timer));
  }

  /** Kills the process, if it still runs, and waits for its exit. */
  async close(): Promise<void> {
    this.kill("SIGKILL");
    await this.exited;
  }

  /** @returns User and system CPU time so far, in seconds. */
  cpuSeconds(): number {
    const stat = readFileSync(`/proc/${this.pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[USER_TICKS_FIELD]) +
      Number(fields[SYSTEM_TICKS_FIELD]);
    return ticks / CLOCK_TICKS_PER_SECOND;
  }

  /** @returns Resident memory, in bytes. */
  residentBytes(): number {
    return this.#memoryBytes("VmRSS");
  }

  /** @returns Largest resident memory so far, in bytes. */
  peakBytes(): number {
    return this.#memoryBytes("VmHWM");
  }

  #memoryBytes(field: string): number {
    const status = readFileSync(`/proc/${this.pid}/status`, "utf8");
    const [, kilobytes] = new RegExp(`${field}:\\s+(\\d+) kB`).exec(status) ??
      [];
    return Number(kilobytes ?? 0) * 1024;
  }
}

function programArgs({ program, preload }: ProgramOptions): string[] {
  const isBuilt = import.meta.url.endsWith(".js");
  const extension = isBuilt ? "js" : "ts";
  const urlOf = (name: string) =>
    new URL(`../${name}.${extension}`, import.meta.url);
  const imports = [
    ...(isBuilt ? [] : ["tsx"]),
    ...(preload === undefined ? [] : [urlOf(preload).href]),
  ];
  return [
    ...imports.flatMap((name) => ["--import", name]),
    fileURLToPath(urlOf(program)),
  ];
}

function rejectAfter(
  ms: number,
  describe: () => string,
): { promise: Promise<never>; cancel: () => void } {
  let cancel = () => {};
  const promise = new Promise<never>((_, reject) => {
    const timer = setTimeout(() => reject(new ChildError(describe())), ms);
    cancel = () => clearTimeout(timer);
  });
  return { promise, cancel };
}
